#include "spindleweir/core/json_codec.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <sstream>

namespace spindleweir {

namespace {

constexpr int kMaxDepth = 64;

Json::CharReaderBuilder MakeReaderBuilder() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = false;
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxDepth;
  return builder;
}

Json::StreamWriterBuilder MakeWriterBuilder() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["commentStyle"] = "None";
  builder["emitUTF8"] = true;
  return builder;
}

[[noreturn]] void ThrowType(const JsonReader::FieldPath& aPath,
                            const char* aType) {
  throw Error(ResultCode::kBadField,
              aPath.Text() + " must be " + std::string(aType));
}

}  // namespace

Json::Value ParseJson(std::string_view aText) {
  // Creating a reader costs more than parsing a short text with it.
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

Json::Value ListOf(const std::vector<std::string>& aTexts) {
  Json::Value list(Json::arrayValue);
  for (const std::string& text : aTexts) {
    list.append(text);
  }
  return list;
}

std::string JsonReader::FieldPath::Text() const {
  if (mName == nullptr) {
    return mParent->Text() + "[" + std::to_string(mIndex) + "]";
  }
  return mParent == nullptr ? mName : mParent->Text() + "." + mName;
}

JsonReader::JsonReader(const Json::Value& aObject, const FieldPath* aPath,
                       bool aStrict)
    : mObject(aObject), mPath(aPath), mStrict(aStrict) {
  if (!mObject.isObject()) {
    ThrowType(mPath == nullptr ? FieldPath{nullptr, "the body"} : *mPath,
              "an object");
  }
}

void JsonReader::RejectUnknownFields() const {
  if (!mStrict) {
    return;
  }
  for (const std::string& name : mObject.getMemberNames()) {
    if (!mKnown.contains(name)) {
      throw Error(ResultCode::kBadField, FieldPath{mPath, name.c_str()}.Text() +
                                             " is not a known field");
    }
  }
}

void JsonReader::Read(const Json::Value& aIn, const FieldPath& aPath,
                      std::string& aOut) {
  if (!aIn.isString()) {
    ThrowType(aPath, "a string");
  }
  aOut = aIn.asString();
}

void JsonReader::Read(const Json::Value& aIn, const FieldPath& aPath,
                      bool& aOut) {
  if (!aIn.isBool()) {
    ThrowType(aPath, "true or false");
  }
  aOut = aIn.asBool();
}

void JsonReader::Read(const Json::Value& aIn, const FieldPath& aPath,
                      int& aOut) {
  if (!aIn.isInt()) {
    ThrowType(aPath, "a 32-bit integer");
  }
  aOut = aIn.asInt();
}

void JsonReader::Read(const Json::Value& aIn, const FieldPath& aPath,
                      std::int64_t& aOut) {
  if (!aIn.isInt64()) {
    ThrowType(aPath, "an integer");
  }
  aOut = aIn.asInt64();
}

void JsonReader::Read(const Json::Value& aIn, const FieldPath& aPath,
                      std::uint64_t& aOut) {
  if (!aIn.isUInt64()) {
    ThrowType(aPath, "a non-negative integer");
  }
  aOut = aIn.asUInt64();
}

void JsonReader::Read(const Json::Value& aIn, const FieldPath& aPath,
                      double& aOut) {
  if (!aIn.isNumeric()) {
    ThrowType(aPath, "a number");
  }
  aOut = aIn.asDouble();
}

}  // namespace spindleweir
