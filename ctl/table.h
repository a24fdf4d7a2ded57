// Aligned text tables.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace rattanramp::ctl {

class Table {
 public:
  explicit Table(std::vector<std::string> header);
  /// Adds a row. Cells missing at its end are printed empty.
  void Add(std::vector<std::string> row);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// Text of a JSON value for a cell; strings have no quotes.
std::string CellText(const nlohmann::json& value);

/// Prints an array of objects as a table. The columns are the members: "id" and "name" first, then
/// the others in the order of their first occurrence.
void PrintObjects(const nlohmann::json& array, std::ostream& out);

}  // namespace rattanramp::ctl
