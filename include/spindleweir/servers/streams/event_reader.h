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

/// Assembles received bytes into events.
class EventReader {
 public:
  /// Appends received bytes; returns the events that are complete now.
  std::vector<ServerSentEvent> Append(std::string_view aBytes);
  /// Bytes of the event that is not complete yet.
  const std::string& Incomplete() const { return mIncomplete; }
  void Clear() { mIncomplete.clear(); }

 private:
  std::string mIncomplete;
  std::size_t mSearchFrom = 0;
};

}  // namespace spindleweir
