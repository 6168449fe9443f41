/// @file
/// Conversion between Document and Object.
#pragma once

#include "document.h"

#include <pollenspoke/resources.h>

namespace Pollenspoke {

Result<Object> decodeObject(const Document &document, const std::string &path);
Document encodeObject(const Object &object);

} // namespace Pollenspoke
