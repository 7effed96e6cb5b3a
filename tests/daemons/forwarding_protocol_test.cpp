#include "daemons/relay/forwarding_protocol.h"

#include "tests/test_tools.h"

using namespace spindleweir;

Test(forwarding_protocol, tells_refusals_from_answers_of_upstreams) {
  SECTION("an upstream cannot refuse in the name of a forwarder") {
    HttpHeaders headers =
        WriteForwardingRefusal(ForwardingRefusal::kUnreachable);
    MarkForwarded(headers);
    CHECK(ReadForwardingRefusal(headers) == ForwardingRefusal::kBusy);
    CHECK(TakeForwardedMark(headers));
    CHECK(headers.empty());
  }
  SECTION("a refusal has no mark") {
    for (const ForwardingRefusal refusal :
         {ForwardingRefusal::kUnreachable, ForwardingRefusal::kCutOff,
          ForwardingRefusal::kBusy}) {
      HttpHeaders headers = WriteForwardingRefusal(refusal);
      CHECK(!TakeForwardedMark(headers));
      CHECK(ReadForwardingRefusal(headers) == refusal);
    }
  }
  SECTION("a caller cannot name another upstream") {
    HttpHeaders headers = {{"Host", "shop"}, {"x-forward-to", "other"}};
    AddForwardingFacts({.mKey = "key", .mInstance = "chosen"}, headers);
    const std::optional<ForwardingFacts> facts = TakeForwardingFacts(headers);
    REQUIRE(facts.has_value());
    CHECK(facts->mInstance == "chosen");
    CHECK(headers.size() == 1);
  }
  SECTION("requests without the facts are no calls to forward") {
    HttpHeaders headers = {{"Host", "shop"}};
    CHECK(!TakeForwardingFacts(headers).has_value());
  }
}
