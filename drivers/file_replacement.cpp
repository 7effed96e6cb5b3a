#include "spindleweir/drivers/file_replacement.h"

#include <utility>

#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

void ReplaceAndWait(const std::string& aPath, std::string aBytes,
                    ReplacedHook aDone) {
  std::optional<Error> failure;
  try {
    ReplaceFile(aPath, aBytes);
  } catch (const Error& error) {
    failure = error;
  }
  aDone(failure);
}

ReplaceHook ReplaceOn(DiskThread& aThread) {
  return [&aThread](const std::string& aPath, std::string aBytes,
                    ReplacedHook aDone) {
    aThread.Run(
        [aPath, bytes = std::move(aBytes)] { ReplaceFile(aPath, bytes); },
        [done = std::move(aDone)](const DiskResult& aResult) {
          done(aResult.mError);
        });
  };
}

}  // namespace spindleweir
