#include "spindleweir/servers/streams/event_reader.h"

#include <algorithm>
#include <charconv>

namespace spindleweir {

namespace {

/// Returns the end of the first empty line at or after aFrom, or npos.
std::size_t EndOfEvent(std::string_view aBytes, std::size_t aFrom) {
  const std::size_t lf = aBytes.find("\n\n", aFrom);
  const std::size_t crlf = aBytes.find("\n\r\n", aFrom);
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lf < crlf ? lf + 2 : crlf + 3;
}

std::optional<std::int64_t> IdOf(std::string_view aEvent) {
  constexpr std::string_view kField = "id:";
  std::size_t at = 0;
  while (at < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', at), aEvent.size());
    std::string_view line = aEvent.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::int64_t id = 0;
    const std::from_chars_result result =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (result.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

std::vector<ServerSentEvent> EventReader::Append(std::string_view aBytes) {
  std::vector<ServerSentEvent> events;
  mIncomplete += aBytes;
  std::size_t begin = 0;
  std::size_t from = mSearchFrom;
  for (;;) {
    const std::size_t end = EndOfEvent(mIncomplete, from);
    if (end == std::string::npos) {
      break;
    }
    ServerSentEvent event{.mBytes = mIncomplete.substr(begin, end - begin)};
    event.mId = IdOf(event.mBytes);
    events.push_back(std::move(event));
    begin = end;
    from = end;
  }
  mIncomplete.erase(0, begin);
  // The last two bytes may be the start of an empty line.
  mSearchFrom = mIncomplete.size() < 2 ? 0 : mIncomplete.size() - 2;
  return events;
}

}  // namespace spindleweir
