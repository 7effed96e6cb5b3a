/// What a stand-in model answers: a function of prompt, index and the layers
/// run, so that a checker knows every token beforehand.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace spindleweir {

/// The value that enters layer 0 for the token at aIndex.
std::uint64_t FirstActivation(std::string_view aPrompt, int aIndex);

/// What one layer makes of it; the order of the layers matters.
std::uint64_t RunLayer(std::uint64_t aValue, int aLayer);

/// The token that a value stands for.
std::string TokenText(std::uint64_t aValue);

/// The whole answer of aTokens tokens.
std::string ExpectedAnswer(std::string_view aPrompt, int aLayers, int aTokens);

}  // namespace spindleweir
