#include <pollenspoke/base.h>

namespace Pollenspoke {

std::string toString(const StorePosition &position)
{
    return std::to_string(position.era()) + "." + std::to_string(position.revision());
}

} // namespace Pollenspoke
