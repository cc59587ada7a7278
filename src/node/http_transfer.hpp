#pragma once

#include "node/http_client.hpp"

#include <curl/curl.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace galenapulley
{

/// One call of http_client, with its own libcurl easy handle. Used on the
/// client's thread only. Must not move, because libcurl has pointers to it.
class http_transfer
{
public:
    http_transfer(std::uint64_t id, http_call call,
                  http_client::done_callback done,
                  http_client::data_callback on_data);

    http_transfer(const http_transfer&) = delete;
    http_transfer& operator=(const http_transfer&) = delete;

    std::uint64_t id() const { return id_; }
    CURL* handle() const { return handle_.get(); }

    /// Outcome of the transfer, given the result code from libcurl.
    transfer_error outcome(CURLcode code);
    /// Passes the result to the `done` callback.
    void finish(transfer_error error);

private:
    struct handle_deleter
    {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    };
    struct list_deleter
    {
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };

    void set_method();
    void set_headers();
    void set_limits();
    void set_callbacks();
    /// Whether the response ended with the connection, but before the whole
    /// request was sent.
    bool ended_during_upload(long status) const;
    void parse_header_line(std::string line);

    static std::size_t on_body(char* data, std::size_t size, std::size_t count,
                               void* self);
    static std::size_t on_header(char* data, std::size_t size,
                                 std::size_t count, void* self);
    static int on_connected(void* self, char* peer_ip, char* local_ip,
                            int peer_port, int local_port);

    std::uint64_t id_;
    http_call call_;
    http_client::done_callback done_;
    http_client::data_callback on_data_;
    std::unique_ptr<curl_slist, list_deleter> header_list_;
    std::unique_ptr<CURL, handle_deleter> handle_;
    std::array<char, CURL_ERROR_SIZE> error_text_{};
    /// Set before the first byte of the request is sent.
    bool connected_ = false;
    bool headers_complete_ = false;
    std::size_t head_bytes_ = 0;
    http_result result_;
};

} // namespace galenapulley
