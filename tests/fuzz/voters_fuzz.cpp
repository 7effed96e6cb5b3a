/// Fuzzing of the voter plan. Controls of several zones start, stop, return and
/// lose their disks in any order. After each step the voters that the leader
/// has seen recently and that hold the log must be a majority, and once all is
/// calm, the loss of any one zone must leave one.
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "spindleweir/servers/membership/voter_plan.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kZones = 4;
constexpr int kControlsPerZone = 5;
constexpr int kControls = kZones * kControlsPerZone;
constexpr int kSeeds = 3;
constexpr std::size_t kMaxVoters = 7;
constexpr Millis kStep = 500;
/// Steps after which a calm fleet must be at rest.
constexpr int kCalmSteps = 60;

/// How long a control counts as running after it was last seen.
constexpr Millis kSeenWindow = 1500;

/// One control with its current disk.
struct Control {
  bool mRuns = false;
  int mDisk = 0;
  std::string mSeenAs;  ///< The id by which it was last seen.
  Millis mSeenAt = -1;
};

bool Contains(const std::vector<std::string>& aList, const std::string& aId) {
  return std::find(aList.begin(), aList.end(), aId) != aList.end();
}

/// What a simulation plants.
enum class PlanDefect {
  kNone,
  kHidesZones,  ///< The plan learns no zones.
  /// The plan takes each candidate for one that holds the log.
  kHidesLogs
};

class Simulation {
 public:
  explicit Simulation(PlanDefect aDefect) : mDefect(aDefect) {
    for (int i = 0; i < kSeeds; i++) {
      mControls[static_cast<std::size_t>(i)].mRuns = true;
      mVoters.push_back(IdOf(i));
      mHoldsLog.insert(IdOf(i));
    }
    SeeRunning();
  }

  void Step(int aChoice) {
    const int number = aChoice / 4;
    Control& control = mControls[static_cast<std::size_t>(number % kControls)];
    switch (aChoice % 4) {
      case 0:
        control.mRuns = true;
        break;
      case 1:
        control.mRuns = false;
        break;
      case 2:
        control.mDisk += number % 3 == 0 ? 1 : 0;
        break;
      default:
        PassTime();
        break;
    }
  }

  /// All controls run, and the plan comes to rest.
  void Settle() {
    for (Control& control : mControls) {
      control.mRuns = true;
    }
    for (int i = 0; i < kCalmSteps; i++) {
      PassTime();
    }
    if (SeenVoters(mVoters) * 2 > mVoters.size()) {
      mValid = mValid && mVoters.size() == kMaxVoters && IsSpread();
    }
  }

  bool IsValid() const { return mValid; }
  std::size_t Size() const { return mVoters.size(); }

 private:
  static int ZoneOf(int aControl) { return aControl % kZones; }

  std::string IdOf(int aControl) const {
    const Endpoint address{"10." + std::to_string(ZoneOf(aControl)) + ".0." +
                               std::to_string(aControl + 1),
                           7000};
    const int disk = mControls[static_cast<std::size_t>(aControl)].mDisk;
    return ControlId(address, "disk" + std::to_string(disk));
  }

  void SeeRunning() {
    for (int i = 0; i < kControls; i++) {
      Control& control = mControls[static_cast<std::size_t>(i)];
      if (control.mRuns) {
        control.mSeenAs = IdOf(i);
        control.mSeenAt = mNow;
        const std::string zone = mDefect == PlanDefect::kHidesZones
                                     ? "z"
                                     : "z" + std::to_string(ZoneOf(i));
        mDirectory.OnSeen({.mId = IdOf(i), .mZone = zone}, mNow);
      }
    }
  }

  /// Those of aVoters that the leader has seen recently.
  std::size_t SeenVoters(const std::vector<std::string>& aVoters) const {
    return static_cast<std::size_t>(std::count_if(
        mControls.begin(), mControls.end(), [&](const Control& aControl) {
          return aControl.mSeenAt >= 0 &&
                 mNow - aControl.mSeenAt <= kSeenWindow &&
                 Contains(aVoters, aControl.mSeenAs);
        }));
  }

  /// A voter that runs; empty if none.
  std::string RunningVoter() const {
    for (int i = 0; i < kControls; i++) {
      const bool runs = mControls[static_cast<std::size_t>(i)].mRuns;
      if (runs && Contains(mVoters, IdOf(i))) {
        return IdOf(i);
      }
    }
    return "";
  }

  /// A running voter leads if a majority was seen, and plans one step.
  void PassTime() {
    mNow += kStep;
    SeeRunning();
    const std::string leader = RunningVoter();
    if (leader.empty() || SeenVoters(mVoters) * 2 <= mVoters.size()) {
      return;
    }
    const VoterPlanInput input{.mSelf = leader,
                               .mVoters = mVoters,
                               .mDirectory = &mDirectory,
                               .mNow = mNow,
                               .mHoldsLog = [this](const std::string& aId) {
                                 return mDefect == PlanDefect::kHidesLogs ||
                                        mHoldsLog.contains(aId);
                               }};
    mVoters = NextVoters(input);
    std::vector<std::string> withLog = mVoters;
    std::erase_if(withLog, [this](const std::string& aId) {
      return !mHoldsLog.contains(aId);
    });
    mValid = mValid && withLog == mVoters &&
             SeenVoters(withLog) * 2 > mVoters.size();
    GiveLogTo(NextLearners(input));
  }

  /// Learners that run hold the log from the next step on.
  void GiveLogTo(const std::vector<std::string>& aLearners) {
    for (int i = 0; i < kControls; i++) {
      const bool runs = mControls[static_cast<std::size_t>(i)].mRuns;
      if (runs && Contains(aLearners, IdOf(i))) {
        mHoldsLog.insert(IdOf(i));
      }
    }
  }

  /// Whether the loss of any one zone leaves a majority.
  bool IsSpread() const {
    std::map<int, std::size_t> counts;
    for (int i = 0; i < kControls; i++) {
      counts[ZoneOf(i)] += Contains(mVoters, IdOf(i)) ? 1 : 0;
    }
    return std::all_of(counts.begin(), counts.end(), [this](const auto& aItem) {
      return (mVoters.size() - aItem.second) * 2 > mVoters.size();
    });
  }

  PlanDefect mDefect;
  std::set<std::string> mHoldsLog;  ///< Disks with the log, by id.
  std::vector<Control> mControls{kControls};
  ControlDirectory mDirectory;
  std::vector<std::string> mVoters;
  Millis mNow = 100000;
  bool mValid = true;
};

}  // namespace

Test(voters_fuzz, the_majority_survives_each_step_and_the_loss_of_a_zone) {
  int grown = 0;
  cr_assert(rc::check("voters", [&grown] {
    Simulation simulation(PlanDefect::kNone);
    const auto choices = *rc::gen::container<std::vector<int>>(
        200, rc::gen::inRange(0, 4 * 1024));
    for (int choice : choices) {
      simulation.Step(choice);
    }
    simulation.Settle();
    grown += simulation.Size() == kMaxVoters ? 1 : 0;
    RC_ASSERT(simulation.IsValid());
  }));
  // If the voters never became seven, the check would prove nothing.
  CHECK(grown > 10);
}

namespace {

bool IsDetected(PlanDefect aDefect) {
  std::mt19937 random(17);
  bool detected = false;
  for (int round = 0; round < 100 && !detected; round++) {
    Simulation simulation(aDefect);
    for (int i = 0; i < 200; i++) {
      simulation.Step(std::uniform_int_distribution<int>(0, 4095)(random));
    }
    simulation.Settle();
    detected = !simulation.IsValid();
  }
  return detected;
}

}  // namespace

Test(voters_fuzz, a_plan_that_knows_no_zones_is_detected) {
  CHECK(IsDetected(PlanDefect::kHidesZones));
}

Test(voters_fuzz, a_plan_that_does_not_ask_for_the_log_is_detected) {
  CHECK(IsDetected(PlanDefect::kHidesLogs));
}
