#include "node/order_manager.hpp"

#include "galenapulley/back_end.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/table_service.hpp"
#include "node/control_loop.hpp"
#include "node/http_client.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace galenapulley
{

using nlohmann::json;

struct order_manager::pending_order
{
    back_end target;
    engine_order order;
    std::string key;
    std::string value;
    std::int64_t fence = 0;
    done_callback done;
};

namespace
{

json order_body(const engine_order& order)
{
    const bool is_load = order.order == "load_model";
    return {{"order", order.order}, {is_load ? "model" : "role", order.value}};
}

absl::Status unavailable()
{
    return make_error(error_kind::store_unavailable,
                      "the order could not be recorded and was not sent");
}

} // namespace

order_manager::order_manager(control_loop& loop, http_client& engines,
                             table_service& table)
    : loop_(loop), engines_(engines), table_(table)
{
}

void order_manager::submit(const back_end& target, const engine_order& order,
                           done_callback done)
{
    auto it = std::make_shared<pending_order>();
    it->target = target;
    it->order = order;
    it->key = "orders/" + target.name;
    it->done = std::move(done);
    table_.read(it->key, call_timeout,
                [this, it](const absl::StatusOr<table_row>& row)
                {
                    if (row.ok())
                        record(it, *row);
                    else
                        it->done(unavailable(), 0);
                });
}

void order_manager::record(const order_ptr& it, const table_row& row)
{
    // If the commit's response is lost, the nonce distinguishes this order from
    // an equal one in the row.
    auto value = order_body(it->order);
    value["nonce"] = std::to_string(wall_time()) + "-" +
                     std::to_string(reinterpret_cast<std::uintptr_t>(it.get()));
    it->value = value.dump();
    table_.commit({.conditions = {{row.key, row.version}},
                   .writes = {{it->key, it->value}}},
                  call_timeout,
                  [this, it](const commit_result& result)
                  {
                      if (result.state == commit_state::committed)
                      {
                          it->fence = result.versions.at(it->key);
                          send(it);
                      }
                      else if (result.state == commit_state::unknown)
                          read_back(it);
                      else if (result.state == commit_state::conflict)
                          it->done(make_error(error_kind::version_conflict,
                                              "another order was submitted "
                                              "concurrently"),
                                   0);
                      else
                          it->done(unavailable(), 0);
                  });
}

void order_manager::read_back(const order_ptr& it)
{
    table_.read(it->key, call_timeout,
                [this, it](const absl::StatusOr<table_row>& row)
                {
                    if (!row.ok() || row->value != it->value)
                    {
                        it->done(unavailable(), 0);
                        return;
                    }
                    it->fence = row->version;
                    send(it);
                });
}

void order_manager::send(const order_ptr& it)
{
    auto body = order_body(it->order);
    body["fence"] = it->fence;
    http_call call;
    call.method = "POST";
    call.url = "http://" + it->target.address + "/orders";
    call.headers["Content-Type"] = "application/json";
    call.body = body.dump();
    call.timeout = order_timeout;
    engines_.start(
        std::move(call),
        [this, it](http_result result)
        {
            loop_.post(
                [this, it, result = std::move(result)]
                {
                    if (result.error == transfer_error::none &&
                        result.status == 200)
                        check_superseded(it);
                    else if (result.status == 409)
                        it->done(make_error(error_kind::version_conflict,
                                            "the engine has a newer order"),
                                 it->fence);
                    else if (result.error == transfer_error::not_connected)
                        it->done(make_error(error_kind::no_back_end,
                                            "the engine is not reachable"),
                                 it->fence);
                    else
                        it->done(
                            make_error(error_kind::outcome_unknown,
                                       "the engine did not confirm the order"),
                            it->fence);
                });
        });
}

void order_manager::check_superseded(const order_ptr& it)
{
    if (it->target.checks_fencing)
    {
        it->done(absl::OkStatus(), it->fence);
        return;
    }
    // An engine that ignores fencing may have executed a newer order before
    // this one. In that case the row has a newer version, and the operator has
    // to submit the newer order again.
    table_.read(it->key, call_timeout,
                [it](const absl::StatusOr<table_row>& row)
                {
                    if (!row.ok())
                        it->done(make_error(error_kind::outcome_unknown,
                                            "a newer order may have been "
                                            "submitted meanwhile"),
                                 it->fence);
                    else if (row->version != it->fence)
                        it->done(make_error(error_kind::version_conflict,
                                            "a newer order was submitted "
                                            "meanwhile; submit it again, since "
                                            "this engine ignores fencing"),
                                 it->fence);
                    else
                        it->done(absl::OkStatus(), it->fence);
                });
}

} // namespace galenapulley
