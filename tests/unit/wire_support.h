// Visits the fields of a message, to fill them in or to print them. The fields
// are listed independently of the table in sl_wire.c, so that a field which is
// missing there shows up as a difference. Not visited are the wire version of
// a hello and the outcome of a fail message, of which only some values can be
// decoded.
#ifndef SL_WIRE_SUPPORT_H
#define SL_WIRE_SUPPORT_H

#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "sl_wire.h"
}

template <typename Visitor>
void
visit_status(struct sl_msg_status &status, Visitor &v)
{
    v(status.in_flight);
    v(status.queued);
    v(status.limit);
    v(status.running);
    v(status.waiting);
    v(status.warm);
    v(status.draining);
    v(status.service_time_us);
    v.versions(status);
}

template <typename Visitor>
void
visit_run(struct sl_msg_run &run, Visitor &v)
{
    v(run.id);
    v(run.attempt);
    v(run.team);
    v(run.session);
    v(run.kind);
    v(run.version);
    v(run.key);
    v(run.bill);
    v(run.method);
    v(run.path);
    v(run.content_type);
    v(run.body);
    v(run.issued_ms);
    v(run.time_left_us);
    v(run.accepted_ms);
}

// Calls `v` with each field of a message of the type `msg.type`. Sets the wire
// version of a hello, and the outcome of a fail message that has none.
template <typename Visitor>
void
visit_fields(struct sl_msg &msg, Visitor &v)
{
    auto visit = [&v](auto &...field) { (v(field), ...); };
    auto &u = msg.u;
    visit(msg.offset, msg.proof_age_us);
    switch (msg.type) {
    case Sl_MSG_HELLO:
        u.hello.wire_version = Sl_WIRE_VERSION;
        visit(u.hello.vm, u.hello.role, u.hello.domain, u.hello.upstream,
              u.hello.boot);
        break;
    case Sl_MSG_RUN:
        visit_run(u.run, v);
        break;
    case Sl_MSG_HEAD:
        visit(u.head.id, u.head.attempt, u.head.status, u.head.content_type);
        break;
    case Sl_MSG_CHUNK:
        visit(u.chunk.id, u.chunk.attempt, u.chunk.position, u.chunk.bytes);
        break;
    case Sl_MSG_END:
        visit(u.end.id, u.end.attempt, u.end.length, u.end.tokens,
              u.end.replayed);
        break;
    case Sl_MSG_FAIL:
        visit(u.fail.id, u.fail.attempt, u.fail.code, u.fail.step, u.fail.text,
              u.fail.retry_after_us, u.fail.covers_key);
        if (u.fail.outcome == 0) {
            u.fail.outcome = Sl_OUTCOME_UNKNOWN;
        }
        break;
    case Sl_MSG_CANCEL:
        visit(u.cancel.id, u.cancel.attempt);
        break;
    case Sl_MSG_RECEIPT:
        visit(u.receipt.bill, u.receipt.team, u.receipt.kind,
              u.receipt.version, u.receipt.upstream, u.receipt.tokens,
              u.receipt.cost_micros);
        break;
    case Sl_MSG_BILLED:
        visit(u.billed.bill);
        break;
    case Sl_MSG_STATUS:
        visit_status(u.status, v);
        break;
    case Sl_MSG_RATED:
        visit(u.rated.version, u.rated.score);
        break;
    case Sl_MSG_PIN_ASK:
    case Sl_MSG_PIN_PUT:
    case Sl_MSG_PIN:
        visit(u.pin.key.team, u.pin.key.session, u.pin.key.service,
              u.pin.version);
        break;
    case Sl_MSG_PROBE:
        visit(u.probe.service, u.probe.nonce);
        break;
    case Sl_MSG_PROOF:
        visit(u.proof.service, u.proof.nonce, u.proof.home_revision,
              u.proof.may_confirm, u.proof.is_move_complete);
        break;
    case Sl_MSG_PULL:
        visit(u.pull.from);
        break;
    case Sl_MSG_RECORDS:
        visit(u.records.snapshot, u.records.json);
        break;
    case Sl_MSG_TYPES_END:
        break;
    }
}

template <typename Visitor>
void
visit_counts(struct sl_version_counts &counts, Visitor &v)
{
    v(counts.version);
    v(counts.loaded);
    v(counts.done);
    v(counts.failed);
    v(counts.rated);
    v(counts.score_sum);
    v(counts.latency_sum_us);
}

// A visitor that appends each field to `text`.
class Printer {
  public:
    template <typename Number>
    void
    operator()(Number &number)
    {
        text << number << ';';
    }
    void
    operator()(struct sl_name &name)
    {
        text << std::string(name.text, name.len) << ';';
    }
    void
    operator()(struct sl_str &bytes)
    {
        text << bytes.len << ':';
        text.write(bytes.ptr, (std::streamsize)bytes.len);
        text << ';';
    }
    void
    operator()(struct sl_request_id &id)
    {
        text << id.boot << '/' << id.seq << ';';
    }
    void
    versions(struct sl_msg_status &status)
    {
        for (size_t i = 0; i < status.version_count; i++) {
            struct sl_version_counts counts = status.versions[i];
            visit_counts(counts, *this);
        }
    }
    std::ostringstream text;
};

// Returns the type and all fields of a message as text.
inline std::string
print_msg(struct sl_msg msg)
{
    Printer printer;
    printer.text.precision(17);
    printer.text << SlMsg_TypeName(msg.type) << ';';
    visit_fields(msg, printer);
    if (msg.type == Sl_MSG_FAIL) {
        printer.text << msg.u.fail.outcome;
    }
    return printer.text.str();
}

// Returns the encoded frame of a message.
inline std::string
frame_of(const struct sl_msg &msg)
{
    struct sl_buf buf = {};
    SlWire_Encode(&msg, &buf, nullptr);
    std::string frame(buf.ptr, buf.len);
    SlBuf_Free(&buf);
    return frame;
}

#endif
