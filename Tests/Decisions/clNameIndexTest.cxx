#include "clNameIndex.h"

#include <doctest/doctest.h>

using namespace catkinloom;

TEST_CASE("name_index_many_names_are_all_found")
{
  name_index index;
  for (std::uint32_t i = 0; i < 5000; ++i) {
    index.Add("group-" + std::to_string(i), i);
  }
  for (std::uint32_t i = 0; i < 5000; ++i) {
    CHECK(index.Find("group-" + std::to_string(i)) == i);
  }
  CHECK_FALSE(index.Find("group-5000").has_value());
  CHECK_FALSE(index.Find("group-").has_value());
}

TEST_CASE("name_index_names_of_all_lengths_are_found")
{
  name_index index;
  for (std::size_t length = 1; length <= 70; ++length) {
    index.Add(std::string(length, 'x'), static_cast<std::uint32_t>(length));
  }
  for (std::size_t length = 1; length <= 70; ++length) {
    CHECK(index.Find(std::string(length, 'x')) == length);
  }
  CHECK_FALSE(index.Find(std::string(71, 'x')).has_value());
}

TEST_CASE("name_index_without_names_finds_nothing")
{
  const name_index index;
  CHECK_FALSE(index.Find("a").has_value());
  CHECK_FALSE(index.Find("").has_value());
}
