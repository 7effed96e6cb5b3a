#include "spindleweir/servers/limits/prompt_part.h"

#include <algorithm>
#include <cctype>

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

constexpr std::string_view kPrefix = "part:";
/// No id that is written out contains it.
constexpr char kDigestMark = '#';
constexpr std::size_t kMaxIdLength = 32;
constexpr std::size_t kDigestDigits = 20;
/// Ordinary prompts have two or three shared parts.
constexpr std::size_t kMaxParts = 64;

bool IsPlain(char aCharacter) {
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0;
}

}  // namespace

std::string PartSubject(std::string_view aId) {
  const bool isPlain = aId.size() <= kMaxIdLength &&
                       std::all_of(aId.begin(), aId.end(), IsPlain);
  const std::string name =
      isPlain ? std::string(aId)
              : kDigestMark + Sha256Hex(aId).substr(0, kDigestDigits);
  return std::string(kPrefix) + name;
}

bool IsPartSubject(std::string_view aSubject) {
  return aSubject.starts_with(kPrefix);
}

std::vector<std::string> PartSubjects(std::span<const std::string> aIds) {
  std::vector<std::string> subjects;
  for (const std::string& id : aIds) {
    std::string subject = PartSubject(id);
    const bool known =
        std::find(subjects.begin(), subjects.end(), subject) != subjects.end();
    if (!known) {
      subjects.push_back(std::move(subject));
    }
    if (subjects.size() == kMaxParts) {
      break;
    }
  }
  return subjects;
}

}  // namespace spindleweir
