#include "spindleweir/servers/membership/source_choice.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

/// One control that could be asked.
struct Candidate {
  Endpoint mAddress;
  std::string mZone;  ///< Empty: not known yet.
  bool mFails = false;
  std::uint64_t mHash = 0;
};

Candidate Describe(const SourceChoiceInput& aQuestion,
                   const Endpoint& aAddress) {
  Candidate candidate;
  candidate.mAddress = aAddress;
  candidate.mZone = aQuestion.mDirectory->ZoneAt(aAddress);
  const std::string text = aAddress.Text();
  const auto it = aQuestion.mFailedAt.find(text);
  candidate.mFails = it != aQuestion.mFailedAt.end() &&
                     aQuestion.mNow - it->second < aQuestion.mFailureAvoidance;
  candidate.mHash = FastHash(aQuestion.mProcess + " " + text);
  return candidate;
}

}  // namespace

std::vector<Endpoint> ChooseSources(const SourceChoiceInput& aQuestion) {
  const std::vector<Endpoint> all =
      aQuestion.mDirectory->Addresses(aQuestion.mNow);
  std::vector<Candidate> left;
  left.reserve(all.size());
  for (const Endpoint& address : all) {
    left.push_back(Describe(aQuestion, address));
  }
  std::set<std::string> taken;
  std::vector<Endpoint> chosen;
  while (chosen.size() < aQuestion.mMaxSources && !left.empty()) {
    const bool first = chosen.empty();
    const auto rank = [&](const Candidate& aCandidate) {
      const bool own = aCandidate.mZone == aQuestion.mZone;
      const bool again = taken.contains(aCandidate.mZone);
      return std::tuple(aCandidate.mFails, first && !own, again,
                        aCandidate.mHash);
    };
    const auto it = std::min_element(
        left.begin(), left.end(),
        [&rank](const Candidate& aLeft, const Candidate& aRight) {
          return rank(aLeft) < rank(aRight);
        });
    chosen.push_back(it->mAddress);
    taken.insert(it->mZone);
    left.erase(it);
  }
  return chosen;
}

}  // namespace spindleweir
