#include "standins/record.h"

#include <chrono>

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

Record::Record(const std::string& aPath, std::string aWriter)
    : mWriter(std::move(aWriter)) {
  if (!aPath.empty()) {
    mFile.open(aPath, std::ios::app);
  }
}

void Record::Write(const char* aEvent, Json::Value aFields) {
  if (!IsOpen()) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  aFields["wall_us"] = static_cast<Json::Int64>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
  aFields["who"] = mWriter;
  aFields["what"] = aEvent;
  mFile << DumpJson(aFields) + "\n" << std::flush;
}

}  // namespace spindleweir
