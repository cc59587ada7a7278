#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace galenapulley
{

/// A valid model service with two zones, two customers and two classes.
inline nlohmann::json sample_service(const std::string& name = "drafting")
{
    auto it = nlohmann::json::parse(R"({
 "service":"drafting","team":"tuul-gate","kind":"model","models":["drafter"],
 "max_prompt_tokens":1000000,"max_output_tokens":4096,
 "placement":"size_interval","shards_per_zone":2,
 "back_ends":[
  {"name":"e1","address":"127.0.0.1:9001","zone":"ub-east","machine":"vm-101",
   "slots":16,"cold_slots":2,"kv_tokens":400000,"checks_fencing":true},
  {"name":"e2","address":"127.0.0.1:9002","zone":"ub-west","machine":"vm-102",
   "slots":8,"cold_slots":1,"kv_tokens":400000}],
 "classes":[
  {"name":"short","up_to_tokens":8000,"deadline_ms":30000,
   "reserved_percent":40},
  {"name":"huge","up_to_tokens":1000000,"deadline_ms":900000}]})");
    it["service"] = name;
    it["customers"] = {
        {{"name", "ub-authority"},
         {"token_sha256", std::string(64, 'a')},
         {"weight", 2},
         {"max_in_flight", 50}},
        {{"name", "clerk"}, {"token_sha256", std::string(64, 'b')}}};
    return it;
}

inline nlohmann::json sample_plain_service()
{
    auto it = sample_service("records");
    it["kind"] = "plain";
    it.erase("models");
    it.erase("classes");
    for (auto& back_end : it["back_ends"])
        back_end.erase("kv_tokens");
    it["routes"] = {{{"method", "POST"},
                     {"path", "/gate-adjustments"},
                     {"idempotent", false},
                     {"timeout_ms", 3000}},
                    {{"method", "GET"},
                     {"path", "/gate-adjustments"},
                     {"idempotent", true}}};
    return it;
}

} // namespace galenapulley
