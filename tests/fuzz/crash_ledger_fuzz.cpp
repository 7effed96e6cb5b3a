/// Fuzzing of the crash ledger: processes that see crashes and completions and
/// tell one another late, twice and in any order, against an oracle that knows
/// all of it at once.
#include <rapidcheck.h>

#include <array>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "spindleweir/servers/limits/crash_ledger.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr std::size_t kProcesses = 4;
constexpr int kContents = 3;
constexpr int kIncarnations = 12;
constexpr std::size_t kBars = 3;

/// A defect that is planted, so that the check is seen to fail.
enum class Defect { kNone, kCountsWordNotCrashes, kForgetsExcuses };

class World {
 public:
  explicit World(Defect aDefect) : mDefect(aDefect) {}

  void Step(int aDice) {
    const auto process = static_cast<std::size_t>(aDice) % kProcesses;
    const int rest = aDice / static_cast<int>(kProcesses);
    const std::string content = "c" + std::to_string(rest % kContents);
    const int incarnation = rest / kContents % kIncarnations;
    mNow += 10;
    switch (rest / kContents / kIncarnations % 8) {
      case 0:
      case 1:
      case 2: {
        const std::string name = IncarnationName("u", incarnation);
        mLedgers[process].RecordCrash(content, name, mNow);
        mCrashes[content].insert(name);
        mSeen[process][content].insert(name);
        break;
      }
      case 3:
        // A process excuses what it knows of.
        mLedgers[process].Excuse(content, mNow, mNow);
        for (const std::string& name : mSeen[process][content]) {
          mExcused[content].insert(name);
        }
        break;
      case 4:
        Tell(process, (process + 1) % kProcesses, 0);
        break;
      case 5:
        Tell(process, (process + 2) % kProcesses,
             mLedgers[process].Revision() / 2);
        break;
      default:
        if (!mLetters.empty()) {
          Deliver(static_cast<std::size_t>(rest) % mLetters.size());
        }
        break;
    }
  }

  /// All tell all until nothing is new.
  bool Agree() {
    for (int round = 0; round < 2; round++) {
      for (std::size_t from = 0; from < kProcesses; from++) {
        for (std::size_t to = 0; to < kProcesses; to++) {
          Tell(from, to, 0);
          Deliver(mLetters.size() - 1);
        }
      }
    }
    for (int i = 0; i < kContents; i++) {
      const std::string content = "c" + std::to_string(i);
      const std::size_t left =
          mCrashes[content].size() - mExcused[content].size();
      for (const CrashLedger& ledger : mLedgers) {
        if (ledger.UnexcusedCrashes(content) != left ||
            ledger.IsBarred(content) != (left >= kBars)) {
          return false;
        }
      }
    }
    return true;
  }

 private:
  struct Letter {
    std::size_t mTo;
    std::vector<CrashRecord> mRecords;
    Millis mAt;
  };

  void Tell(std::size_t aFrom, std::size_t aTo, std::int64_t aSince) {
    mLetters.push_back(
        {aTo, mLedgers[aFrom].ChangesSince(aSince, false, 100, mNow).mRecords,
         mNow});
  }

  /// A letter stays: it may come again.
  void Deliver(std::size_t aWhich) {
    for (CrashRecord record : mLetters[aWhich].mRecords) {
      for (ObservedCrash& crash : record.mCrashes) {
        crash.mAgo += mNow - mLetters[aWhich].mAt;
        mSeen[mLetters[aWhich].mTo][record.mRequestDigest].insert(
            crash.mIncarnation);
        if (mDefect == Defect::kForgetsExcuses) {
          crash.mExcused = false;
        }
        if (mDefect == Defect::kCountsWordNotCrashes) {
          crash.mIncarnation += "+" + std::to_string(mLetters[aWhich].mTo);
        }
      }
      mLedgers[mLetters[aWhich].mTo].Merge(record, mNow);
    }
  }

  Defect mDefect;
  std::array<CrashLedger, kProcesses> mLedgers;
  std::vector<Letter> mLetters;
  Millis mNow = 0;
  std::map<std::string, std::set<std::string>> mCrashes;  ///< By content.
  std::map<std::string, std::set<std::string>> mExcused;
  std::array<std::map<std::string, std::set<std::string>>, kProcesses> mSeen;
};

bool Survives(const std::vector<int>& aDice, Defect aDefect) {
  World world(aDefect);
  for (int dice : aDice) {
    world.Step(dice);
  }
  return world.Agree();
}

}  // namespace

Test(crash_ledger_fuzz, all_agree_with_who_saw_everything) {
  cr_assert(rc::check("any order of word", [] {
    const auto dice = *rc::gen::container<std::vector<int>>(
        200, rc::gen::inRange(0, 1 << 20));
    RC_ASSERT(Survives(dice, Defect::kNone));
  }));
}

Test(crash_ledger_fuzz, planted_defects_are_caught) {
  for (const Defect defect :
       {Defect::kCountsWordNotCrashes, Defect::kForgetsExcuses}) {
    std::mt19937 random(3);
    bool caught = false;
    for (int round = 0; round < 100 && !caught; round++) {
      std::vector<int> dice;
      for (int i = 0; i < 200; i++) {
        dice.push_back(std::uniform_int_distribution<int>(0, 1 << 20)(random));
      }
      caught = !Survives(dice, defect);
    }
    CHECK(caught);
  }
}
