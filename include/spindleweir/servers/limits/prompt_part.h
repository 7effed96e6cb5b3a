/// Names the parts of prompts as subjects of crash records, beside the digests
/// of whole requests.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace spindleweir {

/// The subject that stands for a part. Callers choose the ids of parts: long
/// ones are replaced by a digest.
std::string PartSubject(std::string_view aId);
/// Whether a subject is a part, not the digest of a request.
bool IsPartSubject(std::string_view aSubject);
/// The subjects of a prompt's parts, each once. Only the first parts of a very
/// long list are considered.
std::vector<std::string> PartSubjects(std::span<const std::string> aIds);

}  // namespace spindleweir
