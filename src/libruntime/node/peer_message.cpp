#include "node/peer_message.hpp"

#include "capnp_text.hpp"
#include "node/dispatch.capnp.h"

#include <algorithm>
#include <cstring>

#include <capnp/message.h>
#include <capnp/serialize.h>

namespace jujubedrum
{

namespace
{

using namespace dispatch_wire;

constexpr std::size_t length_prefix_bytes = 4;

void put_load(Load::Builder out, const dispatch_load& in)
{
    out.setTotalCpu(in.total_cpu);
    out.setFreeCpu(in.free_cpu);
    out.setWaitingCpu(in.waiting_cpu);
    out.setMeanRunMs(in.mean_run_ms);
    out.setLargestFreeCpu(in.largest_free_cpu);
    auto waiting = out.initWaitingByPriority(
        static_cast<unsigned>(in.waiting_by_priority.size()));
    unsigned position = 0;
    for (const auto& [priority, cpu] : in.waiting_by_priority)
    {
        waiting[position].setPriority(priority);
        waiting[position].setCpu(cpu);
        ++position;
    }
}

dispatch_load get_load(Load::Reader in)
{
    dispatch_load out;
    out.total_cpu = in.getTotalCpu();
    out.free_cpu = in.getFreeCpu();
    out.waiting_cpu = in.getWaitingCpu();
    out.mean_run_ms = in.getMeanRunMs();
    out.largest_free_cpu = in.getLargestFreeCpu();
    for (const auto waiting : in.getWaitingByPriority())
    {
        out.waiting_by_priority[waiting.getPriority()] = waiting.getCpu();
    }
    return out;
}

void put_servers(PoolHold::Builder out, const pool_hold& in)
{
    if (!in.servers)
    {
        return;
    }
    out.setListsServers(true);
    auto servers = out.initServers(static_cast<unsigned>(in.servers->size()));
    for (unsigned i = 0; i < servers.size(); ++i)
    {
        servers.set(i, (*in.servers)[i]);
    }
}

std::optional<std::vector<std::uint64_t>> get_servers(PoolHold::Reader in)
{
    if (!in.getListsServers())
    {
        return std::nullopt;
    }
    std::vector<std::uint64_t> out;
    for (const std::uint64_t server : in.getServers())
    {
        out.push_back(server);
    }
    // Comparisons rely on the order, and the sender may have broken it.
    std::sort(out.begin(), out.end());
    return out;
}

void put_evacuations(Hello::Builder out, const instance_view& in)
{
    auto evacuations =
        out.initEvacuations(static_cast<unsigned>(in.evacuations.size()));
    for (unsigned i = 0; i < evacuations.size(); ++i)
    {
        evacuations[i].setDomain(to_text(in.evacuations[i].domain));
        evacuations[i].setOffset(in.evacuations[i].offset);
        evacuations[i].setActive(in.evacuations[i].active);
    }
    out.setEvacuationsKnown(in.evacuations_known);
}

void put_heartbeat(Hello::Builder out, const heartbeat_message& in)
{
    out.setName(to_text(in.instance.name));
    out.setBoot(in.instance.boot);
    out.setDomain(to_text(in.instance.domain));
    out.setCpu(in.instance.cpu);
    out.setLinkKbps(in.instance.link_kbps);
    out.setDraining(in.instance.draining);
    auto pools = out.initPools(static_cast<unsigned>(in.instance.holds.size()));
    for (unsigned i = 0; i < pools.size(); ++i)
    {
        pools[i].setDomain(to_text(in.instance.holds[i].pool.domain));
        pools[i].setShard(in.instance.holds[i].pool.shard);
        pools[i].setToken(in.instance.holds[i].token);
        pools[i].setClean(in.instance.holds[i].clean);
        put_servers(pools[i], in.instance.holds[i]);
    }
    auto unlisted = out.initUnlistedServers(
        static_cast<unsigned>(in.instance.unlisted_servers.size()));
    for (unsigned i = 0; i < unlisted.size(); ++i)
    {
        unlisted.set(i, to_text(in.instance.unlisted_servers[i]));
    }
    put_load(out.initLoad(), in.load);
    out.setIntervalMs(static_cast<std::uint32_t>(in.interval.count()));
    out.setAcceptsAlive(in.accepts_alive);
    out.setAcceptsRecall(in.accepts_recall);
    out.setAcceptsLinkState(in.accepts_link_state);
    out.setAcceptsNul(in.accepts_nul);
    put_evacuations(out, in.instance);
    out.setServerNumber(in.instance.server_number);
    out.setSentAtUs(in.sent_at.count());
}

heartbeat_message get_heartbeat(Hello::Reader in)
{
    heartbeat_message out;
    out.instance.name = from_text(in.getName());
    out.instance.boot = in.getBoot();
    out.instance.domain = from_text(in.getDomain());
    out.instance.cpu = in.getCpu();
    out.instance.link_kbps = in.getLinkKbps();
    out.instance.draining = in.getDraining();
    for (const auto hold : in.getPools())
    {
        out.instance.holds.push_back(
            {{from_text(hold.getDomain()), hold.getShard()},
             hold.getToken(),
             hold.getClean(),
             get_servers(hold)});
    }
    for (const auto server : in.getUnlistedServers())
    {
        out.instance.unlisted_servers.push_back(from_text(server));
    }
    out.load = get_load(in.getLoad());
    out.interval = milliseconds(in.getIntervalMs());
    out.accepts_alive = in.getAcceptsAlive();
    out.accepts_recall = in.getAcceptsRecall();
    out.accepts_link_state = in.getAcceptsLinkState();
    out.accepts_nul = in.getAcceptsNul();
    for (const auto record : in.getEvacuations())
    {
        out.instance.evacuations.push_back({from_text(record.getDomain()),
                                            record.getOffset(),
                                            record.getActive()});
    }
    out.instance.evacuations_known = in.getEvacuationsKnown();
    out.instance.server_number = in.getServerNumber();
    out.sent_at = instant(in.getSentAtUs());
    return out;
}

void put_step(Step::Builder out, const job_step& in)
{
    out.setCount(in.count);
    out.setCpu(in.demand.cpu);
    out.setMemoryMb(in.demand.memory_mb);
    out.setGpu(in.demand.gpu);
    out.setEstimateMs(static_cast<std::uint32_t>(in.estimate.count()));
    auto after = out.initAfter(static_cast<unsigned>(in.after.size()));
    for (unsigned i = 0; i < after.size(); ++i)
    {
        after.set(i, in.after[i]);
    }
    out.setLabel(to_text(in.label));
    out.setDataRack(to_text(in.data_rack));
    out.setMostPerServer(in.max_per_server);
}

job_step get_step(Step::Reader in)
{
    job_step out;
    out.count = in.getCount();
    out.demand = {in.getCpu(), in.getMemoryMb(), in.getGpu()};
    out.estimate = milliseconds(in.getEstimateMs());
    for (const std::uint32_t step : in.getAfter())
    {
        out.after.push_back(step);
    }
    out.label = from_text(in.getLabel());
    out.data_rack = from_text(in.getDataRack());
    out.max_per_server = in.getMostPerServer();
    return out;
}

void put_submit(Submit::Builder out, const submit_message& in)
{
    out.setTicket(in.ticket);
    out.setId(to_text(in.request.id));
    out.setPayload(to_text(in.request.payload));
    auto steps = out.initSteps(static_cast<unsigned>(in.request.steps.size()));
    for (unsigned i = 0; i < steps.size(); ++i)
    {
        put_step(steps[i], in.request.steps[i]);
    }
    out.setService(to_text(in.terms.service));
    out.setPriority(in.terms.priority);
    out.setMaxAttempts(in.terms.max_attempts);
    out.setStretch(in.terms.stretch);
    out.setTargetMs(static_cast<std::uint32_t>(in.terms.target.count()));
    out.setTimeLeftMs(static_cast<std::uint32_t>(in.terms.time_left.count()));
    out.setWaitedMs(static_cast<std::uint32_t>(in.terms.waited.count()));
    out.setSeenServerNumber(in.seen_server_number);
}

submit_message get_submit(Submit::Reader in)
{
    submit_message out;
    out.ticket = in.getTicket();
    out.request.id = from_text(in.getId());
    out.request.payload = from_text(in.getPayload());
    for (const auto step : in.getSteps())
    {
        out.request.steps.push_back(get_step(step));
    }
    out.terms.service = from_text(in.getService());
    out.terms.priority = in.getPriority();
    out.terms.max_attempts = in.getMaxAttempts();
    out.terms.stretch = in.getStretch();
    out.terms.target = milliseconds(in.getTargetMs());
    out.terms.time_left = milliseconds(in.getTimeLeftMs());
    out.terms.waited = milliseconds(in.getWaitedMs());
    out.seen_server_number = in.getSeenServerNumber();
    return out;
}

result_message get_result(Result::Reader in)
{
    result_message out;
    out.ticket = in.getTicket();
    constexpr auto last_outcome =
        static_cast<std::uint16_t>(job_outcome::handed_back);
    out.result.outcome = in.getOutcome() <= last_outcome
                             ? static_cast<job_outcome>(in.getOutcome())
                             : job_outcome::incomplete;
    out.result.reason = from_text(in.getReason());
    out.result.retry_after = milliseconds(in.getRetryAfterMs());
    out.load = get_load(in.getLoad());
    return out;
}

peer_link_state get_link_state(LinkState::Reader in)
{
    peer_link_state out;
    out.link = in.getLink();
    for (const std::uint64_t link : in.getOpenLinks())
    {
        out.open_links.push_back(link);
    }
    out.newest_link = in.getNewestLink();
    return out;
}

struct message_writer
{
    Message::Builder out;

    void operator()(const heartbeat_message& in)
    {
        put_heartbeat(this->out.initHello(), in);
    }
    void operator()(const submit_message& in)
    {
        put_submit(this->out.initSubmit(), in);
    }
    void operator()(const result_message& in)
    {
        auto result = this->out.initResult();
        result.setTicket(in.ticket);
        result.setOutcome(static_cast<std::uint16_t>(in.result.outcome));
        result.setReason(to_text(in.result.reason));
        result.setRetryAfterMs(
            static_cast<std::uint32_t>(in.result.retry_after.count()));
        put_load(result.initLoad(), in.load);
    }
    void operator()(const cancel_message& in)
    {
        auto cancel = this->out.initCancel();
        cancel.setId(to_text(in.id));
        cancel.setReason(to_text(in.reason));
        cancel.setTicket(in.ticket);
    }
    void operator()(const alive_message& in)
    {
        auto alive = this->out.initAlive();
        put_load(alive.initLoad(), in.load);
        alive.setIntervalMs(static_cast<std::uint32_t>(in.interval.count()));
        alive.setSentAtMs(in.sent_at_ms);
    }
    void operator()(const confirm_message& in)
    {
        this->out.initConfirm().setAliveAtUs(in.alive_at.count());
    }
    void operator()(const seen_message& in)
    {
        this->out.initSeen().setServerNumber(in.server_number);
    }
    void operator()(const recall_message& in)
    {
        auto recall = this->out.initRecall();
        recall.setId(to_text(in.id));
        recall.setTicket(in.ticket);
    }
    void operator()(const link_state_message& in)
    {
        auto state = this->out.initLinkState();
        state.setLink(in.state.link);
        auto open_links = state.initOpenLinks(
            static_cast<unsigned>(in.state.open_links.size()));
        for (unsigned i = 0; i < open_links.size(); ++i)
        {
            open_links.set(i, in.state.open_links[i]);
        }
        state.setNewestLink(in.state.newest_link);
    }
    void operator()(const release_message& in)
    {
        auto servers = this->out.initRelease().initServers(
            static_cast<unsigned>(in.servers.size()));
        for (unsigned i = 0; i < servers.size(); ++i)
        {
            servers.set(i, to_text(in.servers[i]));
        }
    }
};

std::optional<dispatch_message> read_message(Message::Reader in)
{
    switch (in.which())
    {
    case Message::HELLO:
        return get_heartbeat(in.getHello());
    case Message::SUBMIT:
        return get_submit(in.getSubmit());
    case Message::RESULT:
        return get_result(in.getResult());
    case Message::CANCEL:
        return cancel_message{from_text(in.getCancel().getId()),
                              from_text(in.getCancel().getReason()),
                              in.getCancel().getTicket()};
    case Message::ALIVE:
        return alive_message{get_load(in.getAlive().getLoad()),
                             milliseconds(in.getAlive().getIntervalMs()),
                             in.getAlive().getSentAtMs()};
    case Message::SEEN:
        return seen_message{in.getSeen().getServerNumber()};
    case Message::CONFIRM:
        return confirm_message{instant(in.getConfirm().getAliveAtUs())};
    case Message::RECALL:
        return recall_message{from_text(in.getRecall().getId()),
                              in.getRecall().getTicket()};
    case Message::LINK_STATE:
        return link_state_message{get_link_state(in.getLinkState())};
    case Message::RELEASE:
    {
        release_message out;
        for (const auto server : in.getRelease().getServers())
        {
            out.servers.push_back(from_text(server));
        }
        return out;
    }
    }
    return std::nullopt;
}

} // namespace

std::string encode_frame(const dispatch_message& message)
{
    capnp::MallocMessageBuilder builder;
    std::visit(message_writer{builder.initRoot<Message>()}, message);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    const auto size = static_cast<std::uint32_t>(bytes.size());
    std::string frame(length_prefix_bytes, '\0');
    for (std::size_t i = 0; i < length_prefix_bytes; ++i)
    {
        frame[i] = static_cast<char>((size >> (8 * i)) & 0xffU);
    }
    frame.append(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
    return frame;
}

std::optional<dispatch_message> decode_message(std::string_view bytes,
                                               std::string& why)
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(),
                words.size() * sizeof(capnp::word));
    try
    {
        capnp::FlatArrayMessageReader reader(words);
        auto message = read_message(reader.getRoot<Message>());
        if (!message)
        {
            why = "message type unknown to this version";
        }
        return message;
    }
    catch (const kj::Exception& error)
    {
        why = error.getDescription().cStr();
        return std::nullopt;
    }
}

} // namespace jujubedrum
