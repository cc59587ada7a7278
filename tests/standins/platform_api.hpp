#pragma once

#include "galenapulley/clock.hpp"
#include "standins/delayed_tasks.hpp"
#include "standins/rate_limit.hpp"
#include "standins/standin_api.hpp"
#include "standins/table_store.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace galenapulley::standins
{

struct platform_options
{
    double writes_per_s = 400;
    double reads_per_s = 2000;
    double weight_bytes_per_s = 1e9;
    msec vm_lag_ms = 2000;
};

/// HTTP interface of the simulated platform: table service, object store,
/// weight store and VM list.
class platform_api final : public standin_api
{
public:
    explicit platform_api(const platform_options& options);

    void handle(http_request request, const exchange_ptr& exchange) override;

private:
    struct vm_list
    {
        msec visible_at = 0;
        json vms;
    };
    struct counts
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
    };

    void control(const json& body);
    json stats();
    void respond(const exchange_ptr& exchange, int status, const json& body);
    void read_row(const http_request& request, const exchange_ptr& exchange);
    void read_rows(const http_request& request, const exchange_ptr& exchange);
    void commit(const http_request& request, const exchange_ptr& exchange);
    void objects(const http_request& request, const exchange_ptr& exchange);
    void weights(const http_request& request, const exchange_ptr& exchange);
    void list_vms(const exchange_ptr& exchange);
    bool try_acquire_read(const std::string& key, const exchange_ptr& exchange);
    bool loses_response(const std::vector<table_write>& writes);

    platform_options options_;
    boot_time_clock clock_;
    std::mutex mutex_;
    table_store table_;
    rate_limit read_limit_;
    rate_limit write_limit_;
    std::map<std::string, std::string> objects_;
    std::deque<vm_list> vms_;
    double weights_free_at_ = 0;

    msec outage_until_ = 0;
    bool outage_is_silent_ = false;
    msec slow_ms_ = 0;
    msec stale_reads_ms_ = 0;
    int responses_to_lose_ = 0;
    std::string lose_prefix_;

    counts total_;
    std::map<std::string, counts> by_prefix_;
    std::uint64_t commits_ = 0;
    std::uint64_t conflicts_ = 0;
    std::uint64_t refused_reads_ = 0;
    std::uint64_t refused_writes_ = 0;
    std::uint64_t lost_responses_ = 0;
    std::uint64_t refused_in_outage_ = 0;
    delayed_tasks tasks_;
};

} // namespace galenapulley::standins
