/// The answers of a stand-in model: a function of the prompt, the token's index
/// and the layers run, so that a checker can compute every token.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace spindleweir {

/// Returns the input of layer 0 for the token at aIndex.
std::uint64_t FirstActivation(std::string_view aPrompt, int aIndex);

/// Returns the output of one layer for the input aValue. The result depends on
/// the order of the layers.
std::uint64_t RunLayer(std::uint64_t aValue, int aLayer);

/// Returns the text of the token for the output of the last layer.
std::string TokenText(std::uint64_t aValue);

/// Returns the full answer of aTokens tokens by a model of aLayers layers.
std::string ExpectedAnswer(std::string_view aPrompt, int aLayers, int aTokens);

}  // namespace spindleweir
