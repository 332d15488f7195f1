#pragma once

#include "node/event_loop.hpp"
#include "node/http_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// In-memory stand-in for the log store of the users' platform. Supports
/// appends, long-poll reads, and reads of the newest record of each key. Tests
/// inject faults.
class log_store_standin
{
public:
    enum class fault
    {
        none,
        busy,         ///< requests have no effect and get status 503
        unresponsive, ///< requests have no effect and get no reply
        lost_replies, ///< appends take effect but get no reply
    };

    /// Returns the entry of a backend server as some readers get it.
    using entry_filter = std::function<std::string(const std::string& id,
                                                   const std::string& entry)>;

    explicit log_store_standin(event_loop& loop);

    /// Listens on a free port of the loopback address. Returns false on
    /// failure.
    bool listen();
    [[nodiscard]] std::uint16_t port() const { return this->server.port(); }
    /// Listens on a further port, whose readers get filtered entries of backend
    /// servers. Returns the port, or 0 on failure.
    std::uint16_t listen_filtered(entry_filter filter);
    void set_fault(fault value) { this->active_fault = value; }
    /// Returns the port of a second address of the same store, for the clients
    /// that a test cuts off from it.
    [[nodiscard]] std::uint16_t second_port() const
    {
        return this->second_server.port();
    }
    /// While set, requests to the second address have no effect and get no
    /// reply.
    void set_second_unresponsive(bool value)
    {
        this->second_unresponsive = value;
    }
    /// Publishes a configuration under the key that operators write.
    void publish(const std::string& config_json);
    /// Writes the operator's record that evacuates a failure domain, or removes
    /// it.
    void set_evacuated(const std::string& domain, bool value);
    /// Writes the entry of a backend server, or removes it if the entry is
    /// empty.
    void write_server(const std::string& id, const std::string& entry);
    /// Sets the number of keys in a page of the newest records.
    void set_page_size(std::size_t keys) { this->page_size = keys; }
    /// Delays the replies to reads of the newest records.
    void set_newest_delay(milliseconds delay) { this->newest_delay = delay; }
    /// While set, reads of the list of servers at the second address get no
    /// reply.
    void set_second_server_list_unresponsive(bool value)
    {
        this->second_server_list_unresponsive = value;
    }
    /// While set, a read gets a reply only if it arrives at most this long
    /// after the last one of its topic, which may have got none. 0 removes the
    /// limit.
    void set_max_read_gap(milliseconds gap) { this->max_read_gap = gap; }
    /// Returns the number of reads of a topic received, also those without a
    /// reply.
    [[nodiscard]] std::uint64_t reads_of(const std::string& topic) const;
    /// Drops the records of all topics but keeps the newest value of each key.
    void compact();
    /// Returns the number of requests received.
    [[nodiscard]] std::uint64_t calls() const { return this->call_count; }

private:
    struct topic
    {
        std::uint64_t first = 0; ///< offset of the oldest record
        std::vector<std::string> records;
        std::map<std::string, std::string> newest; ///< value by key

        [[nodiscard]] std::uint64_t end() const
        {
            return this->first + this->records.size();
        }
    };
    struct waiting_read
    {
        std::string name;
        std::uint64_t from = 0;
        std::shared_ptr<http_responder> responder;
        instant until{0};
        const entry_filter* filter = nullptr; ///< null: entries as written
    };
    struct read_history
    {
        std::uint64_t count = 0;
        instant last_at{0};
    };
    struct filtered_access
    {
        entry_filter filter;
        std::unique_ptr<http_server> server;
    };

    void serve(const http_request& request,
               const std::shared_ptr<http_responder>& responder,
               const entry_filter* filter);
    /// Counts a read of a topic. Returns whether it gets a reply.
    bool admit_read(const std::string& name);
    void append(const std::string& name, const std::string& body,
                const std::shared_ptr<http_responder>& responder);
    void read(waiting_read request, milliseconds wait);
    void answer_read(const waiting_read& request);
    void answer_newest(const std::string& name, const std::string& after,
                       const entry_filter* filter,
                       const std::shared_ptr<http_responder>& responder);
    void append_record(const std::string& name, const std::string& record);
    void put_keyed(const std::string& name, const std::string& key,
                   const std::string& value);
    /// Answers the waiting reads that have a record to return.
    void answer_ready_reads();
    /// Answers the waiting reads whose time is over, and schedules itself.
    void expire_reads();

    event_loop& loop;
    milliseconds newest_delay{0};
    http_server server;
    http_server second_server;
    bool second_unresponsive = false;
    bool second_server_list_unresponsive = false;
    std::vector<std::unique_ptr<filtered_access>> filtered;
    std::map<std::string, topic> topics;
    std::map<std::string, read_history> received_reads; ///< by topic
    milliseconds max_read_gap{0};
    std::vector<waiting_read> reads;
    fault active_fault = fault::none;
    std::uint64_t call_count = 0;
    std::size_t page_size = 500;
};

} // namespace jujubedrum
