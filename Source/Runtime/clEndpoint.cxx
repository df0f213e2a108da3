#include "clEndpoint.h"

#include <charconv>

namespace catkinloom {

result<boost::asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText)
{
  const error invalid{ error_kind::BadSettings,
                       "'" + std::string(aText) +
                         "' is not IP:port, such as 10.0.0.5:7001." };
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return invalid;
  }
  const std::string_view portText = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const char* end = portText.data() + portText.size();
  const auto [stop, failure] = std::from_chars(portText.data(), end, port);
  if (failure != std::errc{} || stop != end || port == 0) {
    return invalid;
  }
  boost::system::error_code code;
  const auto address =
    boost::asio::ip::make_address(std::string(aText.substr(0, colon)), code);
  if (code) {
    return invalid;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace catkinloom
