#pragma once

#include "platform/wire_server.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace galenapulley::testing
{

/// How the store behaves.
enum class store_mode
{
    normal,
    /// Responds 503 to every request.
    refusing,
    /// Closes every connection without a response.
    resetting,
    /// Responds with a body that has no end.
    endless,
    /// Responds with header lines that have no end.
    endless_head,
    /// Loses each response that is due; its connection stays open and delivers
    /// nothing further.
    losing
};

/// What a restore does to open watches.
enum class open_watches
{
    cut,
    /// They stay open, and wait for a change after a number of the former era.
    kept
};

struct stored_row
{
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
    /// The value that responses give as JSON text, if it isn't Base64.
    std::string raw_value{};
};

/// Contents of the store at one version, by table and key.
struct store_backup
{
    std::map<std::pair<std::string, std::string>, stored_row> rows;
    std::uint64_t version = 0;
};

/// Stand-in of the platform's store that implements its protocol.
class store_standin
{
public:
    store_standin();
    /// A replica of another store.
    explicit store_standin(store_backup contents);
    ~store_standin();

    std::string address() const { return server_.address(); }
    void put(const std::string& table, const std::string& key,
             const std::string& value);
    /// Writes a row whose value is returned as this JSON text.
    void put_raw(const std::string& table, const std::string& key,
                 const std::string& json_text);
    void remove(const std::string& table, const std::string& key);
    /// The contents of the store, for a later restore().
    store_backup backup() const;
    /// Loses everything since the backup: the versions go back to it and are
    /// given out again.
    void restore(const store_backup& from,
                 open_watches watches = open_watches::cut);
    /// Drops the history, so that watches from earlier versions get 410.
    void drop_history();
    /// Removes a row and drops the history that has the removal.
    void remove_with_history(const std::string& table, const std::string& key);
    void set_mode(store_mode mode);
    /// Loses the response to the next read of the table, as in
    /// store_mode::losing.
    void lose_next_read(const std::string& table);
    std::uint64_t calls() const;
    bool contains(const std::string& table, const std::string& key) const;
    /// Whether a page of the table that was read ended with this row, with
    /// more rows behind it.
    bool has_ended_page(const std::string& table, const std::string& key) const;
    /// Number of open watches of a table.
    std::size_t watchers(const std::string& table) const;

private:
    using row = stored_row;
    using row_key = std::pair<std::string, std::string>;

    bool respond(wire_socket& socket, int status, const std::string& body);
    /// Whether the response that is due now is lost (to the read of a table, or
    /// to another call if that is empty); then it returns only when
    /// the store ends, so that the connection stays open.
    bool loses_response(const std::string& read_table);
    bool serve(wire_socket& socket, const wire_request& request);
    static bool send_without_end(wire_socket& socket, store_mode mode);
    /// The handlers of calls return the status and the body.
    std::pair<int, std::string>
    get_rows(const std::map<std::string, std::string>& query);
    std::pair<int, std::string>
    watch_rows(const std::map<std::string, std::string>& query);
    std::pair<int, std::string> change_rows(const std::string& body);
    std::string row_json(const row_key& key) const;
    std::string rows_json(const std::vector<row_key>& keys) const;
    std::string page_json(const std::vector<std::string>& rows,
                          bool has_more) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::uint64_t version_ = 100;
    std::uint64_t history_from_ = 0;
    /// Number of restores, and of those that cut the open watches.
    std::uint64_t era_ = 0;
    std::uint64_t cuts_ = 0;
    std::uint64_t calls_ = 0;
    std::map<std::string, std::size_t> watchers_;
    std::set<row_key> page_ends_;
    store_mode mode_ = store_mode::normal;
    /// The table whose next read is lost; empty if none is.
    std::string lost_read_;
    bool stopping_ = false;
    wire_server server_;
};

} // namespace galenapulley::testing
