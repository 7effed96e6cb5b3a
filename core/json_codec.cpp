#include "spindleweir/core/json_codec.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <sstream>

namespace spindleweir {

namespace {

constexpr int kMaximumDepth = 64;

Json::CharReaderBuilder MakeReaderBuilder() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = false;
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaximumDepth;
  return builder;
}

Json::StreamWriterBuilder MakeWriterBuilder() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["commentStyle"] = "None";
  builder["emitUTF8"] = true;
  return builder;
}

[[noreturn]] void ThrowType(const JsonReader::Place& aPlace,
                            const char* aType) {
  throw Error(ResultCode::kBadField,
              aPlace.Text() + " must be " + std::string(aType));
}

}  // namespace

Json::Value ParseJson(std::string_view aText) {
  // Making a reader costs more than reading a short text with it.
  thread_local const std::unique_ptr<Json::CharReader> kReader(
      MakeReaderBuilder().newCharReader());
  Json::Value value;
  std::string message;
  try {
    if (!kReader->parse(aText.data(), aText.data() + aText.size(), &value,
                        &message)) {
      throw Error(ResultCode::kMalformedJson, message);
    }
  } catch (const Json::Exception& error) {
    throw Error(ResultCode::kMalformedJson, error.what());
  }
  return value;
}

std::string DumpJson(const Json::Value& aValue) {
  thread_local const std::unique_ptr<Json::StreamWriter> kWriter(
      MakeWriterBuilder().newStreamWriter());
  std::ostringstream out;
  kWriter->write(aValue, &out);
  return std::move(out).str();
}

std::string JsonReader::Place::Text() const {
  if (mName == nullptr) {
    return mParent->Text() + "[" + std::to_string(mIndex) + "]";
  }
  return mParent == nullptr ? mName : mParent->Text() + "." + mName;
}

JsonReader::JsonReader(const Json::Value& aObject, const Place* aPlace,
                       bool aStrict)
    : mObject(aObject), mPlace(aPlace), mStrict(aStrict) {
  if (!mObject.isObject()) {
    ThrowType(mPlace == nullptr ? Place{nullptr, "the body"} : *mPlace,
              "an object");
  }
}

void JsonReader::RefuseUnknown() const {
  if (!mStrict) {
    return;
  }
  for (const std::string& name : mObject.getMemberNames()) {
    if (!mKnown.contains(name)) {
      throw Error(ResultCode::kBadField,
                  Place{mPlace, name.c_str()}.Text() + " is not a known field");
    }
  }
}

void JsonReader::Read(const Json::Value& aIn, const Place& aPlace,
                      std::string& aOut) {
  if (!aIn.isString()) {
    ThrowType(aPlace, "a string");
  }
  aOut = aIn.asString();
}

void JsonReader::Read(const Json::Value& aIn, const Place& aPlace, bool& aOut) {
  if (!aIn.isBool()) {
    ThrowType(aPlace, "true or false");
  }
  aOut = aIn.asBool();
}

void JsonReader::Read(const Json::Value& aIn, const Place& aPlace, int& aOut) {
  if (!aIn.isInt()) {
    ThrowType(aPlace, "a whole number of 32 bits");
  }
  aOut = aIn.asInt();
}

void JsonReader::Read(const Json::Value& aIn, const Place& aPlace,
                      std::int64_t& aOut) {
  if (!aIn.isInt64()) {
    ThrowType(aPlace, "a whole number");
  }
  aOut = aIn.asInt64();
}

void JsonReader::Read(const Json::Value& aIn, const Place& aPlace,
                      std::uint64_t& aOut) {
  if (!aIn.isUInt64()) {
    ThrowType(aPlace, "a whole number that is not negative");
  }
  aOut = aIn.asUInt64();
}

void JsonReader::Read(const Json::Value& aIn, const Place& aPlace,
                      double& aOut) {
  if (!aIn.isNumeric()) {
    ThrowType(aPlace, "a number");
  }
  aOut = aIn.asDouble();
}

}  // namespace spindleweir
