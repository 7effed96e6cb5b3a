/// Streams that have neither a length nor chunks and end with their connection.
/// Nothing but their events shows whether they are whole: one that ends before
/// its first event, or inside one, must not reach the caller as complete.
#include "standins/raw_upstream.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

/// A router whose only upstream sends what a test says.
struct UnframedFixture {
  UnframedFixture() { mFixture.BeginRaw(mFirst); }

  RelayFixture mFixture;
  RawUpstream mFirst{mFixture.mLoop, "raw"};
};

}  // namespace

Test(unframed_stream, is_complete_only_if_it_ends_after_an_event) {
  UnframedFixture fixture;
  const std::string head = RawUpstream::StreamHead();
  SECTION("one that ends after an event is whole") {
    fixture.mFirst.SetAnswers({head + RawUpstream::Events(1, 5)});
    const Answer answer = fixture.mFixture.Call("/stream/x");
    CHECK(answer.mStatus == 200 && answer.mEnd == StreamEnd::kComplete);
    CHECK(answer.mBody == RawUpstream::Events(1, 5));
  }
  SECTION("one that ends inside an event is resumed after the last whole one") {
    fixture.mFirst.SetAnswers({head + RawUpstream::Events(1, 2) + "id: 3\nda",
                               head + RawUpstream::Events(3, 5)});
    const Answer answer = fixture.mFixture.Call("/stream/x");
    CHECK(answer.mStatus == 200 && answer.mEnd == StreamEnd::kComplete);
    CHECK(answer.mBody == RawUpstream::Events(1, 5));
  }
  SECTION("one that always ends inside an event is broken off") {
    fixture.mFirst.SetAnswers({head + RawUpstream::Events(1, 2) + "id: 3\nda"});
    const Answer answer = fixture.mFixture.Call("/stream/x");
    CHECK(answer.mEnd != StreamEnd::kComplete);
  }
  SECTION("one without any event is tried again") {
    fixture.mFirst.SetAnswers({head, head + RawUpstream::Events(1, 5)});
    const Answer answer = fixture.mFixture.Call("/stream/x");
    CHECK(answer.mStatus == 200 && answer.mEnd == StreamEnd::kComplete);
    CHECK(answer.mBody == RawUpstream::Events(1, 5));
  }
}
