#include "platform/store_standin.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace galenapulley::testing
{

namespace
{

using json = nlohmann::json;

/// Limits of the store's protocol.
constexpr std::size_t max_key_bytes = 200;
constexpr std::size_t max_page_rows = 500;
constexpr std::size_t max_page_bytes = 1'000'000;

/// Decodes a value of a query; a plus sign stands for a blank.
std::string decoded(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        if (text[n] != '%' || n + 2 >= text.size())
        {
            out += text[n] == '+' ? ' ' : text[n];
            continue;
        }
        out += static_cast<char>(
            std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16));
        n += 2;
    }
    return out;
}

std::map<std::string, std::string> query_of(std::string_view target)
{
    std::map<std::string, std::string> out;
    const auto mark = target.find('?');
    auto rest = mark == std::string_view::npos ? std::string_view()
                                               : target.substr(mark + 1);
    while (!rest.empty())
    {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            out[std::string(pair.substr(0, equals))] =
                decoded(pair.substr(equals + 1));
    }
    return out;
}

std::string value_of(const std::map<std::string, std::string>& query,
                     const std::string& name)
{
    const auto it = query.find(name);
    return it == query.end() ? "" : it->second;
}

/// Largest number of rows in a page; 0 if the query asks for something else.
std::size_t page_rows_of(const std::map<std::string, std::string>& query)
{
    const auto limit = value_of(query, "Limit");
    std::size_t rows = 0;
    if (limit.empty())
        return max_page_rows;
    if (!absl::SimpleAtoi(limit, &rows))
        return 0;
    return std::min(rows, max_page_rows);
}

/// Keys are texts of a limited length, also those that bound a range.
bool is_key(const std::string& text)
{
    return text.size() <= max_key_bytes;
}

} // namespace

store_standin::store_standin()
    : server_([this](wire_socket& socket, const wire_request& request)
              { return serve(socket, request); })
{
}

store_standin::store_standin(store_backup contents) : store_standin()
{
    const std::lock_guard lock(mutex_);
    rows_ = std::move(contents.rows);
    version_ = contents.version;
}

store_standin::~store_standin()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    server_.stop();
}

void store_standin::put(const std::string& table, const std::string& key,
                        const std::string& value)
{
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {.value = value, .version = ++version_};
    changed_.notify_all();
}

void store_standin::put_raw(const std::string& table, const std::string& key,
                            const std::string& json_text)
{
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {.version = ++version_, .raw_value = json_text};
    changed_.notify_all();
}

void store_standin::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {.version = ++version_, .deleted = true};
    changed_.notify_all();
}

store_backup store_standin::backup() const
{
    const std::lock_guard lock(mutex_);
    return {.rows = rows_, .version = version_};
}

void store_standin::restore(const store_backup& from, open_watches watches)
{
    const std::lock_guard lock(mutex_);
    rows_ = from.rows;
    version_ = from.version;
    ++era_;
    if (watches == open_watches::cut)
        ++cuts_;
    changed_.notify_all();
}

void store_standin::drop_history()
{
    const std::lock_guard lock(mutex_);
    history_from_ = ++version_;
    changed_.notify_all();
}

void store_standin::remove_with_history(const std::string& table,
                                        const std::string& key)
{
    const std::lock_guard lock(mutex_);
    rows_.erase({table, key});
    history_from_ = ++version_;
    changed_.notify_all();
}

void store_standin::set_mode(store_mode mode)
{
    const std::lock_guard lock(mutex_);
    mode_ = mode;
    changed_.notify_all();
}

bool store_standin::contains(const std::string& table,
                             const std::string& key) const
{
    const std::lock_guard lock(mutex_);
    const auto it = rows_.find({table, key});
    return it != rows_.end() && !it->second.deleted;
}

bool store_standin::has_ended_page(const std::string& table,
                                   const std::string& key) const
{
    const std::lock_guard lock(mutex_);
    return page_ends_.contains({table, key});
}

std::uint64_t store_standin::calls() const
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

std::size_t store_standin::watchers(const std::string& table) const
{
    const std::lock_guard lock(mutex_);
    const auto it = watchers_.find(table);
    return it == watchers_.end() ? 0 : it->second;
}

bool store_standin::send_without_end(wire_socket& socket, store_mode mode)
{
    const std::string filler(8192, 'x');
    const bool in_head = mode == store_mode::endless_head;
    const auto repeated = in_head ? "X-More: " + filler + "\r\n" : filler;
    const std::string first = "HTTP/1.1 200 X\r\n";
    bool open = write_bytes(socket, in_head ? first : first + "\r\n");
    while (open)
        open = write_bytes(socket, repeated);
    return false;
}

bool store_standin::respond(wire_socket& socket, int status,
                            const std::string& body)
{
    std::uint64_t era = 0;
    {
        const std::lock_guard lock(mutex_);
        era = era_;
    }
    return write_bytes(socket,
                       "HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Store-Era: " +
                           std::to_string(era) + "\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
}

void store_standin::lose_next_read(const std::string& table)
{
    const std::lock_guard lock(mutex_);
    lost_read_ = table;
}

bool store_standin::loses_response(const std::string& read_table)
{
    std::unique_lock lock(mutex_);
    const bool loses_read = !read_table.empty() && read_table == lost_read_;
    if (mode_ != store_mode::losing && !loses_read)
        return false;
    if (loses_read)
        lost_read_.clear();
    changed_.wait(lock, [this] { return stopping_; });
    return true;
}

bool store_standin::serve(wire_socket& socket, const wire_request& request)
{
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    const auto query = query_of(target);
    auto mode = store_mode::normal;
    {
        const std::lock_guard lock(mutex_);
        ++calls_;
        if (mode_ == store_mode::resetting)
            return false;
        if (mode_ == store_mode::refusing)
            return write_json(socket, 503, "{}");
        mode = mode_;
    }
    if (mode == store_mode::endless || mode == store_mode::endless_head)
        return send_without_end(socket, mode);
    std::pair<int, std::string> out{404, "{}"};
    const bool is_read = path == "/galenapulley/rows-get";
    if (is_read)
        out = get_rows(query);
    else if (path == "/galenapulley/rows-feed")
        out = watch_rows(query);
    else if (path == "/galenapulley/rows-tx")
        out = change_rows(request.body());
    return out.first != 0 &&
           !loses_response(is_read ? value_of(query, "Table") : "") &&
           respond(socket, out.first, out.second);
}

std::string store_standin::row_json(const row_key& key) const
{
    const auto& it = rows_.at(key);
    json out{{"Table", key.first},
             {"part", ""},
             {"Key", key.second},
             {"Ver", it.version}};
    if (it.deleted)
        out["Deleted"] = true;
    else if (!it.raw_value.empty())
        out["Value"] = json::parse(it.raw_value);
    else
        out["Value"] = absl::Base64Escape(it.value);
    return out.dump();
}

std::string store_standin::rows_json(const std::vector<row_key>& keys) const
{
    std::vector<std::string> rows;
    rows.reserve(keys.size());
    for (const auto& it : keys)
        rows.push_back(row_json(it));
    return page_json(rows, false);
}

std::string store_standin::page_json(const std::vector<std::string>& rows,
                                     bool has_more) const
{
    return absl::StrCat("{\"Rows\":[", absl::StrJoin(rows, ","),
                        "],\"HasMore\":", has_more ? "true" : "false",
                        ",\"Ver\":", version_, ",\"NowMs\":1}");
}

std::pair<int, std::string>
store_standin::get_rows(const std::map<std::string, std::string>& query)
{
    const std::lock_guard lock(mutex_);
    const auto table = query.at("Table");
    const auto from = value_of(query, "From");
    const auto target = value_of(query, "Target");
    const auto most = page_rows_of(query);
    if (!is_key(from) || !is_key(target) || most == 0)
        return {400, "{}"};
    std::vector<std::string> rows;
    std::string last;
    std::size_t bytes = 0;
    for (auto it = rows_.lower_bound({table, from});
         it != rows_.end() && it->first.first == table &&
         (target.empty() || it->first.second < target);
         ++it)
    {
        if (it->second.deleted)
            continue;
        auto row = row_json(it->first);
        if (rows.size() == most || bytes + row.size() > max_page_bytes)
        {
            page_ends_.insert({table, last});
            return {200, page_json(rows, true)};
        }
        bytes += row.size();
        rows.push_back(std::move(row));
        last = it->first.second;
    }
    return {200, page_json(rows, false)};
}

std::pair<int, std::string>
store_standin::watch_rows(const std::map<std::string, std::string>& query)
{
    std::unique_lock lock(mutex_);
    const auto after = std::stoull(query.at("After"));
    const auto era = era_;
    const auto cuts = cuts_;
    const auto changes = [&]
    {
        std::vector<std::pair<std::uint64_t, row_key>> found;
        for (const auto& [key, it] : rows_)
            if (key.first == query.at("Table") && it.version > after)
                found.emplace_back(it.version, key);
        std::sort(found.begin(), found.end());
        std::vector<row_key> keys;
        keys.reserve(found.size());
        for (const auto& it : found)
            keys.push_back(it.second);
        return keys;
    };
    const auto lacks_history = [&]
    {
        return era == era_ && (after < history_from_ || after > version_);
    };
    const auto interrupted = [&]
    {
        return stopping_ || cuts != cuts_ || lacks_history() ||
               (mode_ != store_mode::normal && mode_ != store_mode::losing);
    };
    ++watchers_[query.at("Table")];
    changed_.wait_for(lock,
                      std::chrono::milliseconds(std::stoi(query.at("WaitMs"))),
                      [&] { return interrupted() || !changes().empty(); });
    --watchers_[query.at("Table")];
    if (stopping_ || mode_ == store_mode::resetting || cuts != cuts_)
        return {0, ""};
    if (mode_ == store_mode::refusing)
        return {503, "{}"};
    if (lacks_history())
        return {410, "{}"};
    return {200, rows_json(changes())};
}

std::pair<int, std::string> store_standin::change_rows(const std::string& body)
{
    const std::lock_guard lock(mutex_);
    const auto call = json::parse(body);
    for (const auto& it : call.at("Precondition"))
    {
        const row_key key{it.at("Table"), it.at("Key")};
        const auto known = rows_.find(key);
        const auto version = known == rows_.end() || known->second.deleted
                                 ? 0
                                 : known->second.version;
        if (version != it.at("Ver").get<std::uint64_t>())
            return {412, rows_json({})};
    }
    ++version_;
    for (const auto& it : call.at("Upserts"))
    {
        std::string value;
        absl::Base64Unescape(it.at("Value").get<std::string>(), &value);
        rows_[{it.at("Table"), it.at("Key")}] = {.value = value,
                                                 .version = version_};
    }
    changed_.notify_all();
    return {200, rows_json({})};
}

} // namespace galenapulley::testing
