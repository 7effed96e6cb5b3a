#include "daemons/control/file_warning.h"

#include "spindleweir/core/log.h"

namespace spindleweir {

void LogFileWarning(const char* aEvent, const Error& aError) {
  LogLine(LogLevel::kWarning, aEvent)
      .Add("code", static_cast<int>(aError.Code()))
      .Add("why", aError.what());
}

}  // namespace spindleweir
