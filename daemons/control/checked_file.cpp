#include "daemons/control/checked_file.h"

#include "spindleweir/core/digest.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr char kDigestSeparator = ' ';

std::string DigestOf(std::string_view aText) {
  return std::to_string(FastHash(aText));
}

}  // namespace

std::string WithDigest(std::string_view aText) {
  std::string content = DigestOf(aText) + kDigestSeparator;
  content += aText;
  return content;
}

std::optional<std::string> ReadCheckedFile(const std::string& aPath) {
  const std::string stored = ReadFile(aPath).value_or("");
  const std::size_t n = stored.find(kDigestSeparator);
  if (n == std::string::npos) {
    return std::nullopt;
  }
  std::string text = stored.substr(n + 1);
  if (stored.substr(0, n) != DigestOf(text)) {
    return std::nullopt;
  }
  return text;
}

}  // namespace spindleweir
