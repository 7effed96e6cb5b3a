#include "daemons/relay/forwarding_protocol.h"

#include <algorithm>

namespace spindleweir {

namespace {

constexpr const char* kKeyHeader = "X-Forward-Key";
constexpr const char* kInstanceHeader = "X-Forward-To";
constexpr const char* kOnlyConnectHeader = "X-Forward-Only-Connect";
constexpr const char* kMarkHeader = "X-Forwarded-Answer";
constexpr const char* kRefusalHeader = "X-Forward-Refusal";
/// Beside "unreachable", which earlier builds read.
constexpr const char* kRefusedHeader = "X-Forward-Refused";

/// Removes all headers of that name; returns the value of the first.
std::optional<std::string> Take(HttpHeaders& aHeaders, const char* aName) {
  const std::string* value = FindHeader(aHeaders, aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  std::string taken = *value;
  std::erase_if(aHeaders, [aName](const HttpHeader& aHeader) {
    return SameHeaderName(aHeader.mName, aName);
  });
  return taken;
}

}  // namespace

void AddForwardingFacts(const ForwardingFacts& aFacts, HttpHeaders& aHeaders) {
  // A caller may have sent headers of the same names.
  (void)TakeForwardingFacts(aHeaders);
  if (FindHeader(aHeaders, "Host") == nullptr) {
    // Servers refuse requests without it.
    aHeaders.push_back({"Host", aFacts.mInstance});
  }
  aHeaders.push_back({kKeyHeader, aFacts.mKey});
  aHeaders.push_back({kInstanceHeader, aFacts.mInstance});
  if (aFacts.mOnlyConnect) {
    aHeaders.push_back({kOnlyConnectHeader, "1"});
  }
}

std::optional<ForwardingFacts> TakeForwardingFacts(HttpHeaders& aHeaders) {
  const std::optional<std::string> key = Take(aHeaders, kKeyHeader);
  const std::optional<std::string> instance = Take(aHeaders, kInstanceHeader);
  const bool onlyConnect = Take(aHeaders, kOnlyConnectHeader).has_value();
  if (!key.has_value() || !instance.has_value()) {
    return std::nullopt;
  }
  return ForwardingFacts{
      .mKey = *key, .mInstance = *instance, .mOnlyConnect = onlyConnect};
}

void MarkForwarded(HttpHeaders& aHeaders) {
  (void)Take(aHeaders, kRefusalHeader);
  (void)Take(aHeaders, kMarkHeader);
  aHeaders.push_back({kMarkHeader, "1"});
}

bool TakeForwardedMark(HttpHeaders& aHeaders) {
  return Take(aHeaders, kMarkHeader).has_value();
}

const char* NameOf(ForwardingRefusal aRefusal) {
  switch (aRefusal) {
    case ForwardingRefusal::kUnreachable:
      return "unreachable";
    case ForwardingRefusal::kRefused:
      return "refused";
    case ForwardingRefusal::kCutOff:
      return "cut-off";
    case ForwardingRefusal::kBusy:
      break;
  }
  return "busy";
}

HttpHeaders WriteForwardingRefusal(ForwardingRefusal aRefusal) {
  if (aRefusal == ForwardingRefusal::kRefused) {
    return {{kRefusalHeader, NameOf(ForwardingRefusal::kUnreachable)},
            {kRefusedHeader, "1"}};
  }
  return {{kRefusalHeader, NameOf(aRefusal)}};
}

ForwardingRefusal ReadForwardingRefusal(const HttpHeaders& aHeaders) {
  const std::string* value = FindHeader(aHeaders, kRefusalHeader);
  if (value == nullptr) {
    return ForwardingRefusal::kBusy;
  }
  if (*value == NameOf(ForwardingRefusal::kUnreachable)) {
    return FindHeader(aHeaders, kRefusedHeader) != nullptr
               ? ForwardingRefusal::kRefused
               : ForwardingRefusal::kUnreachable;
  }
  return *value == NameOf(ForwardingRefusal::kCutOff)
             ? ForwardingRefusal::kCutOff
             : ForwardingRefusal::kBusy;
}

}  // namespace spindleweir
