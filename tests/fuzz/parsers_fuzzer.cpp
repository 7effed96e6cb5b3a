/// Coverage-guided fuzzing (libFuzzer) of what reads bytes from outside. The
/// first byte chooses the reader; whatever the rest is, a reader returns or
/// throws an Error with a number.
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string>

#include "daemons/router/completion_body.h"
#include "drivers/frame_reader.h"
#include "platform/boot_settings.h"
#include "platform/caller_headers.h"
#include "platform/configuration_document.h"
#include "platform/engine_messages.h"
#include "platform/heartbeat_document.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/packing.h"
#include "spindleweir/drivers/disk_log.h"
#include "spindleweir/drivers/http_message.h"
#include "spindleweir/drivers/platform_list.h"
#include "spindleweir/servers/configuration/configuration_history.h"
#include "spindleweir/servers/configuration/intent_check.h"
#include "spindleweir/servers/membership/upstream_table.h"
#include "spindleweir/servers/routes/traffic_change.h"
#include "spindleweir/servers/streams/event_reader.h"

using namespace spindleweir;

namespace {

void ReadBody(std::string_view aBytes, bool aChat) {
  const CompletionBody body = ReadCompletion(aBytes, aChat);
  const CompletionReply reply{.mRequest = "r"};
  // What was read must be writable as an event that reads again.
  const std::string event = StreamEventWriter(body, reply).Write(body.mPrompt);
  ParseJson(event.substr(6));
}

void ReadFrames(std::string_view aBytes) {
  FrameReader reader([](const TokenFrame&) {});
  const std::size_t half = aBytes.size() / 2;
  reader.Append(aBytes.substr(0, half));
  reader.Append(aBytes.substr(half));
}

void ReadRecords(std::string_view aBytes) {
  const std::string path = "/tmp/spindleweir-fuzz-" + std::to_string(getpid());
  std::ofstream(path, std::ios::binary | std::ios::trunc) << aBytes;
  int before = 0;
  {
    const DiskLog log(path, [&before](std::string_view) { before++; });
  }
  // What was read once is read again the same.
  int after = 0;
  {
    const DiskLog log(path, [&after](std::string_view) { after++; });
  }
  if (before != after) {
    abort();
  }
}

void ReadIntent(std::string_view aBytes) {
  auto intent = FromJson<Intent>(ParseJson(aBytes), true);
  CheckIntentAndHashKeys(intent);
  FromJson<Intent>(ParseJson(DumpJson(ToJson(intent))), true);
}

/// Whole and in two parts must come to the same, and a head that was read
/// must be one that can be passed on.
void ReadMessage(std::string_view aBytes, MessageSide aSide) {
  HttpMessageReader whole(aSide);
  whole.Read(aBytes);
  HttpMessageReader parts(aSide);
  const std::size_t half = aBytes.size() / 2;
  if (parts.Read(aBytes.substr(0, half)) == half) {
    parts.Read(aBytes.substr(half));
  }
  if (whole.State() != parts.State()) {
    abort();
  }
  if (aSide == MessageSide::kRequests && whole.State() != ReadState::kHead) {
    const CallerProtocol protocol = platform::CallerHeaders();
    if (ResolveTarget(whole.Request()) &&
        !whole.Request().mTarget.starts_with('/')) {
      abort();
    }
    const RequestFacts facts = protocol.mReadRequest(whole.Request());
    protocol.mWriteRequest(whole.Request(), {.mRemaining = 1});
  }
}

void ReadEvents(std::string_view aBytes) {
  EventReader reader;
  std::string back;
  for (char byte : aBytes) {
    for (const ServerSentEvent& event : reader.Append({&byte, 1})) {
      back += event.mBytes;
    }
  }
  if (back + reader.Incomplete() != aBytes) {
    abort();
  }
}

void ReadDocument(std::string_view aBytes) {
  const TrafficConfiguration read = platform::ReadConfigurationDocument(aBytes);
  platform::CheckNewDocument(aBytes);
  CheckTrafficConfiguration(read);
  FromJson<TrafficConfiguration>(ToJson(read));
}

void ReadPacked(std::string_view aBytes) {
  constexpr std::size_t kMost = 1024 * 1024;
  if (Unpack(Pack(aBytes), kMost) != aBytes) {
    abort();
  }
  const TrafficConfiguration none;
  ApplyTrafficUpdate(
      &none,
      {.mBaseVersion = 1, .mVersion = 2, .mPacked = std::string(aBytes)});
}

/// What was read can be used, or is left out and told.
template <class T>
void RequireAll(const std::vector<T>& aRows) {
  try {
    for (const T& row : aRows) {
      RequireUsable(row);
    }
  } catch (const Error&) {
    abort();
  }
}

const InvalidRowHook kNoted = [](const std::string&, const Error&) {};

void ReadUpstreamTable(std::string_view aBytes) {
  RequireAll(UnpackUpstreams(Pack(aBytes), kNoted));
}

void ReadUpstreamRows(std::string_view aBytes) {
  const Json::Value list = ParseJson(aBytes);
  if (list.isArray()) {
    RequireAll(ReadRows<UpstreamRecord>({list.begin(), list.end()}, kNoted));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize) {
  if (aSize == 0) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(aData) + 1,
                               aSize - 1);
  try {
    switch (aData[0] % 18) {
      case 0:
        ReadBody(bytes, true);
        break;
      case 1:
        ReadBody(bytes, false);
        break;
      case 2:
        ReadFrames(bytes);
        break;
      case 3:
        ReadRecords(bytes);
        break;
      case 4:
        ReadIntent(bytes);
        break;
      case 5:
        ReadMessage(bytes, MessageSide::kRequests);
        break;
      case 6:
        ReadMessage(bytes, MessageSide::kAnswers);
        break;
      case 7:
        ReadEvents(bytes);
        break;
      case 8:
        ReadDocument(bytes);
        break;
      case 9:
        RequireAll<UpstreamRecord>({platform::ReadHeartbeat("i", bytes)});
        break;
      case 10:
        platform::EngineMessages().mReadState(bytes);
        break;
      case 11:
        platform::ParseBootSettings(bytes);
        break;
      case 12:
        ReadPacked(bytes);
        break;
      case 13:
        FromJson<ConfigurationUpdate>(ParseJson(bytes));
        break;
      case 14:
        platform::ReadLeave(bytes);
        break;
      case 15:
        ReadUpstreamTable(bytes);
        break;
      case 16:
        ReadUpstreamRows(bytes);
        break;
      default:
        RequireAll(
            FromJson<HeartbeatTable>(ParseJson(bytes)).Heartbeats(kNoted));
        break;
    }
  } catch (const Error&) {
    return 0;
  }
  return 0;
}
