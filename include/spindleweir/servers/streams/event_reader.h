/// Reads a stream of events (text/event-stream) only as far as it must: where
/// each event ends, and its id. Whole events are passed on as they came.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spindleweir {

/// One whole event with the empty line that ends it.
struct ServerSentEvent {
  std::string mBytes;
  std::optional<std::int64_t> mId;
};

/// Collects bytes into events.
class EventReader {
 public:
  /// Takes bytes; returns the events that are complete now.
  std::vector<ServerSentEvent> Append(std::string_view aBytes);
  /// Bytes of an event that is not complete.
  const std::string& Incomplete() const { return mIncomplete; }
  void Clear() { mIncomplete.clear(); }

 private:
  std::string mIncomplete;
  std::size_t mSearchFrom = 0;
};

}  // namespace spindleweir
