// Builds easylogging++ from source: Debian packages it without a library.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
