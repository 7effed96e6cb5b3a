#include "standins/record.h"

#include <chrono>

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

Record::Record(const std::string& aPath, std::string aWho)
    : mWho(std::move(aWho)) {
  if (!aPath.empty()) {
    mFile.open(aPath, std::ios::app);
  }
}

void Record::Write(const char* aWhat, Json::Value aFields) {
  if (!On()) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  aFields["wall_us"] = static_cast<Json::Int64>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
  aFields["who"] = mWho;
  aFields["what"] = aWhat;
  mFile << DumpJson(aFields) + "\n" << std::flush;
}

}  // namespace spindleweir
