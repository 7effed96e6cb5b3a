#include "standins/expected_answer.h"

#include "spindleweir/core/digest.h"

namespace spindleweir {

std::uint64_t FirstActivation(std::string_view aPrompt, int aIndex) {
  return FastHash(aPrompt, static_cast<std::uint64_t>(aIndex));
}

std::uint64_t RunLayer(std::uint64_t aValue, int aLayer) {
  const std::string_view bytes(reinterpret_cast<const char*>(&aValue),
                               sizeof(aValue));
  return FastHash(bytes, static_cast<std::uint64_t>(aLayer) + 1);
}

std::string TokenText(std::uint64_t aValue) {
  constexpr std::uint64_t kWords = 100000;
  return " w" + std::to_string(aValue % kWords);
}

std::string ExpectedAnswer(std::string_view aPrompt, int aLayers, int aTokens) {
  std::string answer;
  for (int index = 0; index < aTokens; index++) {
    std::uint64_t value = FirstActivation(aPrompt, index);
    for (int layer = 0; layer < aLayers; layer++) {
      value = RunLayer(value, layer);
    }
    answer += TokenText(value);
  }
  return answer;
}

}  // namespace spindleweir
