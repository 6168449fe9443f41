#include <pollenspoke/base.h>

#include <arpa/inet.h>
#include <charconv>

namespace Pollenspoke {

namespace {

bool isIpAddress(const std::string &ip, int family)
{
    in6_addr parsed{};
    return inet_pton(family, ip.c_str(), &parsed) == 1;
}

Error addressError(std::string_view text, const char *detail)
{
    return Error{.code = ErrorCode::InvalidSyntax, .path = std::string(text), .detail = detail};
}

} // namespace

Result<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return tl::unexpected(addressError(text, "expected an IP address and a port, such as 10.0.0.5:80"));
    }
    std::string ip(text.substr(0, colon));
    int family = AF_INET;
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
        family = AF_INET6;
    }
    if (!isIpAddress(ip, family)) {
        return tl::unexpected(addressError(text, "the host must be an IP address; host names aren't resolved"));
    }
    const std::string_view portText = text.substr(colon + 1);
    Address address{.ip = std::move(ip)};
    const auto [end, ec] = std::from_chars(portText.data(), portText.data() + portText.size(), address.port);
    if (ec != std::errc() || end != portText.data() + portText.size()) {
        return tl::unexpected(addressError(text, "the port must be a number between 0 and 65535"));
    }
    return address;
}

Result<Address> parseHttpUrl(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    if (!text.starts_with(scheme)) {
        return tl::unexpected(addressError(text, "must start with http://, such as http://10.0.0.5:9000"));
    }
    std::string_view authority = text.substr(scheme.size());
    if (authority.ends_with('/')) {
        authority.remove_suffix(1);
    }
    return parseAddress(authority);
}

std::string toString(const Address &address)
{
    const bool isV6 = address.ip.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + address.ip + "]" : address.ip;
    return host + ":" + std::to_string(address.port);
}

} // namespace Pollenspoke
