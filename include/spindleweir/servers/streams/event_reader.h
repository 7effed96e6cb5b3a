/// Splits a stream of server-sent events (text/event-stream) into events.
/// Parses only the end and the id of each event; the bytes are forwarded
/// unchanged.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spindleweir {

/// One complete event with the empty line that ends it.
struct ServerSentEvent {
  std::string mBytes;
  std::optional<std::int64_t> mId;
};

/// An event holds a few tokens. One that is longer than this is taken for bytes
/// that are no events and may have no end.
inline constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;

/// Assembles received bytes into events.
class EventReader {
 public:
  /// Appends received bytes; returns the events that are complete now.
  std::vector<ServerSentEvent> Append(std::string_view aBytes);
  /// Bytes of the event that is not complete yet.
  const std::string& Incomplete() const { return mIncomplete; }
  /// Whether the incomplete event is longer than an event may be.
  bool IsTooLong() const { return mIncomplete.size() > kMaxEventBytes; }
  void Clear() { mIncomplete.clear(); }

 private:
  std::string mIncomplete;
  std::size_t mSearchFrom = 0;
};

}  // namespace spindleweir
