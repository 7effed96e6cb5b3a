#include "spindleweir/drivers/file_replacement.h"

#include <utility>

#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

void ReplaceAndWait(const std::string& aPath, const std::string& aBytes,
                    const ReplacedHook& aDone) {
  std::optional<Error> failure;
  try {
    ReplaceFile(aPath, aBytes);
  } catch (const Error& error) {
    failure = error;
  }
  aDone(failure);
}

ReplaceHook ReplaceOn(DiskThread& aThread, ReplaceTimeHook aOnReplaced) {
  return [&aThread, onReplaced = std::move(aOnReplaced)](
             const std::string& aPath, std::string aBytes, ReplacedHook aDone) {
    aThread.Run(
        [aPath, bytes = std::move(aBytes)] { ReplaceFile(aPath, bytes); },
        [aPath, onReplaced,
         done = std::move(aDone)](const DiskResult& aResult) {
          onReplaced(aPath, aResult.mTook);
          done(aResult.mError);
        });
  };
}

}  // namespace spindleweir
