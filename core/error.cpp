#include "spindleweir/core/error.h"

namespace spindleweir {

std::string Describe(const Error& aError) {
  const ResultCodeInfo& info = InfoOf(aError.Code());
  std::string line = "error ";
  line += std::to_string(static_cast<int>(info.mCode));
  line += ' ';
  line += info.mName;
  line += ": ";
  line += aError.what();
  return line;
}

}  // namespace spindleweir
