#include "clSessionToken.h"

#include <doctest/doctest.h>

using namespace catkinloom;

TEST_CASE("session_token_round_trip_keeps_floors")
{
  session_token token;
  token.RaiseFloor("faults-1", { 2, 40 });
  token.RaiseFloor("faults-2", { 1, 7 });
  const auto read = session_token::Parse(token.Text());
  REQUIRE(read.has_value());
  CHECK(read.value().Floor("faults-1") == log_position{ 2, 40 });
  CHECK(read.value().Floor("faults-2") == log_position{ 1, 7 });
  CHECK(read.value().Floor("faults-3") == log_position{});
}

TEST_CASE("session_token_raised_to_lower_position_keeps_floor")
{
  session_token token;
  token.RaiseFloor("g", { 2, 3 });
  token.RaiseFloor("g", { 1, 900 });
  CHECK(token.Floor("g") == log_position{ 2, 3 });
}

TEST_CASE("session_token_new_text_round_trip_stays_new")
{
  const auto token = session_token::Parse("new");
  REQUIRE(token.has_value());
  CHECK(token.value().Text() == "new");
}

TEST_CASE("session_token_malformed_text_is_refused")
{
  const std::string tooLong(3000, 'x');
  std::string tooMany = "g0=1.1";
  for (int i = 1; i < 40; ++i) {
    tooMany += ",g" + std::to_string(i) + "=1.1";
  }
  for (const std::string& text : { std::string(""),
                                   std::string("faults-1"),
                                   std::string("=1.2"),
                                   std::string("g=1"),
                                   std::string("g=.2"),
                                   std::string("g=1."),
                                   std::string("g=1.2.3"),
                                   std::string("g=-1.2"),
                                   std::string("g=99999999999999999999999.1"),
                                   std::string("g=1.2,,"),
                                   tooLong,
                                   tooMany }) {
    CAPTURE(text);
    const auto token = session_token::Parse(text);
    REQUIRE_FALSE(token.has_value());
    CHECK(token.error().mKind == error_kind::BadSessionToken);
  }
}
