#include "spindleweir/servers/configuration/configuration_history.h"

#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr std::size_t kKeptChanges = 64;

std::string DigestOf(const Configuration& aConfiguration) {
  return Sha256Hex(DumpJson(ToJson(aConfiguration)));
}

}  // namespace

NewsVerdict ConfigurationHistory::Take(const ConfigurationNews& aNews) {
  return aNews.mIsWhole ? TakeWhole(aNews) : TakeChanges(aNews);
}

NewsVerdict ConfigurationHistory::TakeWhole(const ConfigurationNews& aNews) {
  const Configuration& whole = aNews.mWhole;
  if (whole.mVersion <= mCurrent.mVersion) {
    const bool fork =
        whole.mVersion == mCurrent.mVersion && whole.mHash != mCurrent.mHash;
    return fork ? NewsVerdict::kFork : NewsVerdict::kOld;
  }
  if (DigestOf(whole) != aNews.mWholeDigest) {
    return NewsVerdict::kDamaged;
  }
  mCurrent = whole;
  mChanges.clear();
  return NewsVerdict::kTaken;
}

NewsVerdict ConfigurationHistory::TakeChanges(const ConfigurationNews& aNews) {
  NewsVerdict verdict = NewsVerdict::kOld;
  for (const ConfigurationChange& change : aNews.mChanges) {
    if (change.mVersion == mCurrent.mVersion &&
        change.mHash != mCurrent.mHash) {
      return NewsVerdict::kFork;
    }
    if (change.mVersion <= mCurrent.mVersion) {
      continue;
    }
    if (change.mVersion > mCurrent.mVersion + 1) {
      return NewsVerdict::kGap;
    }
    if (change.mPreviousHash != mCurrent.mHash) {
      return NewsVerdict::kFork;
    }
    if (HashOf(change) != change.mHash) {
      return NewsVerdict::kDamaged;
    }
    ApplyChange(mCurrent, change);
    mChanges.push_back(change);
    if (mChanges.size() > kKeptChanges) {
      mChanges.pop_front();
    }
    verdict = NewsVerdict::kTaken;
  }
  return verdict;
}

ConfigurationNews ConfigurationHistory::Answer(
    const ConfigurationQuestion& aQuestion) const {
  ConfigurationNews news;
  if (aQuestion.mVersion >= mCurrent.mVersion) {
    return news;
  }
  for (const ConfigurationChange& change : mChanges) {
    const bool next = news.mChanges.empty()
                          ? change.mVersion == aQuestion.mVersion + 1 &&
                                change.mPreviousHash == aQuestion.mHash
                          : true;
    if (next) {
      news.mChanges.push_back(change);
    }
  }
  if (news.mChanges.empty()) {
    news.mIsWhole = true;
    news.mWhole = mCurrent;
    news.mWholeDigest = DigestOf(mCurrent);
  }
  return news;
}

}  // namespace spindleweir
