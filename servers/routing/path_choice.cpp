#include "spindleweir/servers/routing/path_choice.h"

#include <algorithm>
#include <functional>
#include <set>

namespace spindleweir {

namespace {

/// The part of the places left on the cheapest path that may be taken before
/// the others hear of it: the rest is for what the loads do not show.
constexpr double kTakenUnseen = 0.5;
/// Paths are divided anew at most this often: in a release each engine's
/// change would do it.
constexpr Millis kDivideEvery = 300;

/// A path that takes so many times as long as with sound engines is not dealt
/// where others are: its requests are late, or near it.
constexpr double kSlowed = 1.5;

/// A path with what it has left for this request.
struct Offer {
  const SharedPath* mShare = nullptr;
  double mPlaces = 0;  ///< Requests that may still come.
  double mWeight = 0;  ///< Requests a millisecond.
};

/// What a path offers by the loads that are known; nothing where it is full.
Offer OfferOf(const PathQuestion& aQuestion, const SharedPath& aShare) {
  const bool avoided =
      aQuestion.mNotFirst.contains(aShare.mPath.front().mInstance) ||
      std::any_of(aShare.mPath.begin(), aShare.mPath.end(),
                  [&aQuestion](const PathPart& aPart) {
                    return aQuestion.mAvoid.contains(aPart.mInstance);
                  });
  Offer offer{.mShare = &aShare};
  if (avoided) {
    return offer;
  }
  const double left = PlacesLeft(aQuestion, aShare.mPath);
  if (left < 1) {
    return offer;
  }
  offer.mPlaces = left;
  // By what the path can carry, not by what it has left at the moment: with
  // news 1.5 s old and 700 requests a second that refused 0.052 of them, since
  // all go where there was room; this refuses 0.001.
  offer.mWeight = aShare.Rate();
  return offer;
}

bool IsSlowed(const Offer& aOffer) {
  return aOffer.mShare->mSlowed >= kSlowed;
}

/// What slowed paths would carry if they were sound goes to the paths that
/// aOthers gives, beside the sound ones that are there. Unless there are none:
/// then slow ones are better than nothing.
void ReplaceSlowed(std::vector<Offer>& aOffers,
                   const std::function<std::vector<Offer>()>& aOthers) {
  double lost = 0;
  for (const Offer& offer : aOffers) {
    lost += IsSlowed(offer) ? offer.mWeight * offer.mShare->mSlowed : 0;
  }
  if (lost <= 0) {
    return;
  }
  std::vector<Offer> others = aOthers();
  std::erase_if(others, IsSlowed);
  double weight = 0;
  for (const Offer& offer : others) {
    weight += offer.mWeight;
  }
  const bool soundLeft =
      std::any_of(aOffers.begin(), aOffers.end(), [](const Offer& aOffer) {
        return !IsSlowed(aOffer) && aOffer.mWeight > 0;
      });
  if (weight <= 0 && !soundLeft) {
    return;
  }
  std::erase_if(aOffers, IsSlowed);
  for (Offer& offer : others) {
    offer.mWeight *= std::min(1.0, lost / weight);
    aOffers.push_back(offer);
  }
}

const Offer* Draw(const std::vector<Offer>& aOffers, double aRandom) {
  double total = 0;
  for (const Offer& offer : aOffers) {
    total += offer.mWeight;
  }
  double left = aRandom * total;
  const Offer* drawn = nullptr;
  for (const Offer& offer : aOffers) {
    if (offer.mWeight <= 0) {
      continue;
    }
    drawn = &offer;
    left -= offer.mWeight;
    if (left <= 0) {
      break;
    }
  }
  return drawn;
}

}  // namespace

const std::vector<SharedPath>& PathChoice::PathsOf(
    const PathQuestion& aQuestion, const std::string& aZone,
    const ChoiceNews& aNews) {
  ZonePaths& zone = mZones[aZone];
  const bool fresh =
      aQuestion.mSampleShare >= 1 &&
      (zone.mRevision == aNews.mRevision ||
       (zone.mRevision >= 0 && aNews.mNow - zone.mMadeAt < kDivideEvery));
  if (fresh) {
    return zone.mPaths;
  }
  std::vector<const UpstreamRecord*> engines;
  for (const UpstreamRecord* engine : aQuestion.mEngines) {
    if (engine->mZone == aZone) {
      engines.push_back(engine);
    }
  }
  zone.mPaths = DividePaths(*aQuestion.mProfile, engines,
                            [&aQuestion](const std::string& aInstance) {
                              return aQuestion.mLoadOf(aInstance).mPace;
                            });
  zone.mRevision = aNews.mRevision;
  zone.mMadeAt = aNews.mNow;
  return zone.mPaths;
}

PathAnswer PathChoice::Deal(const PathQuestion& aQuestion,
                            const ChoiceNews& aNews) {
  std::vector<Offer> offers;
  double places = 0;
  const auto add = [&](const std::string& aZone) {
    for (const SharedPath& share : PathsOf(aQuestion, aZone, aNews)) {
      offers.push_back(OfferOf(aQuestion, share));
      places += offers.back().mPlaces;
    }
  };
  std::set<std::string> zones;
  for (const UpstreamRecord* engine : aQuestion.mEngines) {
    zones.insert(engine->mZone);
  }
  add(aQuestion.mZone);
  if (places * static_cast<double>(zones.size()) < aNews.mUnseen) {
    // Its own zone may not carry what comes before the next news.
    zones.erase(aQuestion.mZone);
    for (const std::string& zone : zones) {
      add(zone);
    }
    zones.clear();
  }
  ReplaceSlowed(offers, [&] {
    std::vector<Offer> others;
    zones.erase(aQuestion.mZone);
    for (const std::string& zone : zones) {
      for (const SharedPath& share : PathsOf(aQuestion, zone, aNews)) {
        others.push_back(OfferOf(aQuestion, share));
      }
    }
    return others;
  });
  const Offer* drawn = Draw(offers, aQuestion.mRandom());
  return drawn == nullptr
             ? PathAnswer()
             : PathAnswer{.mPath = drawn->mShare->mPath, .mDealt = true};
}

PathAnswer PathChoice::Choose(const PathQuestion& aQuestion,
                              const ChoiceNews& aNews) {
  PathAnswer cheapest = ChoosePath(aQuestion);
  if (cheapest.mPath.empty() || !aQuestion.mRandom) {
    return cheapest;
  }
  const double left = PlacesLeft(aQuestion, cheapest.mPath);
  // Who else chooses looks at another sample: so much less comes this way.
  const double unseen = aNews.mUnseen * aQuestion.mSampleShare;
  if (aQuestion.mRandom() * unseen <= left * kTakenUnseen) {
    return cheapest;
  }
  PathAnswer dealt = Deal(aQuestion, aNews);
  return dealt.mPath.empty() ? cheapest : dealt;
}

}  // namespace spindleweir
