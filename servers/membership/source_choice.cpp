#include "spindleweir/servers/membership/source_choice.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

/// A control that could be polled.
struct Candidate {
  Endpoint mAddress;
  std::string mZone;  ///< Empty: not known yet.
  bool mFailedRecently = false;
  std::uint64_t mHash = 0;
};

Candidate Describe(const SourceChoiceInput& aInput, const Endpoint& aAddress) {
  Candidate candidate;
  candidate.mAddress = aAddress;
  candidate.mZone = aInput.mDirectory->ZoneAt(aAddress);
  const std::string text = aAddress.Text();
  const auto it = aInput.mFailedAt.find(text);
  candidate.mFailedRecently =
      it != aInput.mFailedAt.end() &&
      aInput.mNow - it->second < aInput.mFailureAvoidance;
  candidate.mHash = FastHash(aInput.mProcess + " " + text);
  return candidate;
}

}  // namespace

std::vector<Endpoint> ChooseSources(const SourceChoiceInput& aInput) {
  const std::vector<Endpoint> all = aInput.mDirectory->Addresses(aInput.mNow);
  std::vector<Candidate> candidates;
  candidates.reserve(all.size());
  for (const Endpoint& address : all) {
    candidates.push_back(Describe(aInput, address));
  }
  std::set<std::string> zones;
  std::vector<Endpoint> chosen;
  while (chosen.size() < aInput.mMaxSources && !candidates.empty()) {
    const bool isFirst = chosen.empty();
    const auto rank = [&](const Candidate& aCandidate) {
      const bool sameZone = aCandidate.mZone == aInput.mZone;
      const bool zoneTaken = zones.contains(aCandidate.mZone);
      return std::tuple(aCandidate.mFailedRecently, isFirst && !sameZone,
                        zoneTaken, aCandidate.mHash);
    };
    const auto it = std::min_element(
        candidates.begin(), candidates.end(),
        [&rank](const Candidate& aLeft, const Candidate& aRight) {
          return rank(aLeft) < rank(aRight);
        });
    chosen.push_back(it->mAddress);
    zones.insert(it->mZone);
    candidates.erase(it);
  }
  return chosen;
}

}  // namespace spindleweir
