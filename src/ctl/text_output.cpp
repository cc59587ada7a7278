#include "ctl/text_output.hpp"

#include <algorithm>
#include <cctype>
#include <ostream>

namespace galenapulley
{

namespace
{

using json = nlohmann::ordered_json;
using row = std::vector<std::string>;

std::string cell(const json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (!value.is_array())
        return value.dump();
    std::string text;
    for (const auto& it : value)
        text += (text.empty() ? "" : ",") + cell(it);
    return text.empty() ? "-" : text;
}

std::string heading(std::string name)
{
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::toupper(c)); });
    return name;
}

bool is_list_of_objects(const json& value)
{
    return value.is_array() && !value.empty() &&
           std::all_of(value.begin(), value.end(),
                       [](const json& it) { return it.is_object(); });
}

void print_table(std::ostream& out, const json& list)
{
    row names;
    for (const auto& object : list)
        for (const auto& it : object.items())
            if (std::find(names.begin(), names.end(), it.key()) == names.end())
                names.push_back(it.key());
    std::vector<row> rows(1);
    for (const auto& it : names)
        rows.front().push_back(heading(it));
    for (const auto& object : list)
    {
        auto& cells = rows.emplace_back();
        for (const auto& it : names)
            cells.push_back(object.contains(it) ? cell(object[it]) : "-");
    }
    print_columns(out, rows);
}

void print_object(std::ostream& out, const json& object)
{
    std::vector<row> rows;
    for (const auto& it : object.items())
        if (!it.value().is_object() && !is_list_of_objects(it.value()))
            rows.push_back({it.key(), cell(it.value())});
    print_columns(out, rows);
    for (const auto& it : object.items())
        if (it.value().is_object() || is_list_of_objects(it.value()))
        {
            out << it.key() << ":\n";
            print_text(out, it.value());
        }
}

} // namespace

void print_columns(std::ostream& out,
                   const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& cells : rows)
    {
        widths.resize(std::max(widths.size(), cells.size()));
        for (std::size_t n = 0; n < cells.size(); ++n)
            widths[n] = std::max(widths[n], cells[n].size());
    }
    for (const auto& cells : rows)
    {
        std::string line;
        for (std::size_t n = 0; n < cells.size(); ++n)
        {
            line += cells[n];
            if (n + 1 < cells.size())
                line.append(widths[n] - cells[n].size() + 2, ' ');
        }
        out << line << '\n';
    }
}

void print_text(std::ostream& out, const json& response)
{
    if (is_list_of_objects(response))
        print_table(out, response);
    else if (response.is_object())
        print_object(out, response);
    else if (response.is_array())
        for (const auto& it : response)
            out << cell(it) << '\n';
    else
        out << cell(response) << '\n';
}

} // namespace galenapulley
