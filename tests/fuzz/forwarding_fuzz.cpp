/// Fuzzes the headers by which routers hand calls to each other, and the
/// decision which links are lost, against a list of all events.
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "daemons/relay/forwarding_protocol.h"
#include "spindleweir/servers/routing/upstream_links.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

bool SameHeaders(const HttpHeaders& aLeft, const HttpHeaders& aRight) {
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                    [](const HttpHeader& aOne, const HttpHeader& aOther) {
                      return aOne.mName == aOther.mName &&
                             aOne.mValue == aOther.mValue;
                    });
}

constexpr UpstreamLinksOptions kOptions{.mRetention = 100, .mLinksToCutOff = 3};

enum class Kind { kConnected, kFailed, kForwarded };

struct Event {
  Kind mKind = Kind::kConnected;
  std::string mInstance;
  Millis mAt = 0;
};

/// Decides by going through all events each time.
struct Oracle {
  bool IsCutOff(Millis aNow) const {
    std::set<std::string> failed;
    for (const Event& event : mEvents) {
      if (event.mKind == Kind::kConnected) {
        failed.clear();
      } else if (aNow - event.mAt < kOptions.mRetention) {
        failed.insert(event.mInstance);
      }
    }
    return failed.size() >= kOptions.mLinksToCutOff;
  }

  bool IsLost(const std::string& aInstance, Millis aNow) const {
    bool proven = false;
    Oracle before;
    for (const Event& event : mEvents) {
      const bool ends =
          event.mKind == Kind::kConnected &&
          (event.mInstance == aInstance || before.IsCutOff(event.mAt));
      if (ends) {
        proven = false;
      }
      if (event.mKind == Kind::kForwarded && event.mInstance == aInstance) {
        proven = aNow - event.mAt < kOptions.mRetention;
      }
      before.mEvents.push_back(event);
    }
    return proven || IsCutOff(aNow);
  }

  std::vector<Event> mEvents;
};

}  // namespace

Test(forwarding, returns_the_request_and_what_was_asked) {
  cr_assert(rc::check([] {
    const auto names = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("Host", "X-Request", "Deadline", "Host"));
    HttpHeaders headers = {{"Host", "shop"}};
    for (const std::string& name : names) {
      headers.push_back({name, *rc::gen::arbitrary<std::string>()});
    }
    const ForwardingFacts facts{.mKey = *rc::gen::arbitrary<std::string>(),
                                .mInstance = *rc::gen::arbitrary<std::string>(),
                                .mOnlyConnect = *rc::gen::arbitrary<bool>()};
    HttpHeaders sent = headers;
    AddForwardingFacts(facts, sent);
    const std::optional<ForwardingFacts> taken = TakeForwardingFacts(sent);
    RC_ASSERT(taken.has_value());
    RC_ASSERT(taken->mKey == facts.mKey);
    RC_ASSERT(taken->mInstance == facts.mInstance);
    RC_ASSERT(taken->mOnlyConnect == facts.mOnlyConnect);
    RC_ASSERT(SameHeaders(sent, headers));
  }));
}

Test(forwarding, links_are_lost_as_a_list_of_all_events_says) {
  cr_assert(rc::check([] {
    UpstreamLinks links(kOptions);
    Oracle oracle;
    Millis now = 0;
    const int n = *rc::gen::inRange(0, 40);
    for (int i = 0; i < n; i++) {
      // Events of one moment have no order that the times show.
      now += *rc::gen::inRange(1, 40);
      const Event event{
          .mKind = *rc::gen::element(Kind::kConnected, Kind::kFailed,
                                     Kind::kFailed, Kind::kForwarded),
          .mInstance = *rc::gen::element<std::string>("a", "b", "c", "d", "e"),
          .mAt = now};
      oracle.mEvents.push_back(event);
      switch (event.mKind) {
        case Kind::kConnected:
          links.OnConnected(event.mInstance, now);
          break;
        case Kind::kFailed:
          links.OnFailed(event.mInstance, now);
          break;
        case Kind::kForwarded:
          links.OnForwarded(event.mInstance, now);
          break;
      }
      const Millis later = now + *rc::gen::inRange(0, 120);
      RC_ASSERT(links.IsCutOff(later) == oracle.IsCutOff(later));
      for (const char* instance : {"a", "b", "c", "d", "e"}) {
        RC_ASSERT(links.IsLost(instance, later) ==
                  oracle.IsLost(instance, later));
      }
    }
  }));
}
