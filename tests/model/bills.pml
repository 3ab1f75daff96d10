/*
 * Billing: receipts at the agent, batches of bills appended by the entries,
 * and a reader that removes duplicates.
 *
 * A key runs at the agent, which keeps a receipt for it. The entry that sent
 * the key learns of its completion and keeps a bill, appends its bills in
 * batches {writer, boot, seq, bills} and confirms them to the agent. The agent
 * offers its receipts to any entry. Sets of keys are bit masks.
 *
 * An append takes effect late, at once or never, and its response can be lost.
 */

#ifndef KEYS
#define KEYS 2
#endif
#define ENTRIES 2
#define ALL ((1 << KEYS) - 1)
#ifndef LOG_MAX
#define LOG_MAX 3
#endif
/* Restarts of each entry; the agent's restarts are not bounded. */
#ifndef RESTARTS
#define RESTARTS 1
#endif

/* The log of bills, by offset. */
byte batch_writer[LOG_MAX + 1]; /* entry that appended the batch */
byte batch_boot[LOG_MAX + 1];   /* number of the entry's start */
byte batch_seq[LOG_MAX + 1];    /* number of the batch since that start */
byte batch_keys[LOG_MAX + 1];   /* keys that the batch has bills of */
byte log_len;
byte in_log; /* keys of all batches */

/* The agent. */
byte keys_run; /* keys that it has run */
byte receipts; /* keys that it has a receipt for */

/* Entries. */
byte sent[ENTRIES];        /* keys sent to the agent */
byte bills[ENTRIES];       /* keys whose bill is not yet confirmed */
byte boot[ENTRIES];        /* number of the entry's start */
byte seq[ENTRIES];         /* number of the next batch, or of `batch` */
byte batch[ENTRIES];       /* keys of the batch not yet completed; 0: none */
byte search_from[ENTRIES]; /* offset after which the log may have `batch` */

/*
 * Appends in flight to the log service, one for each start of each entry.
 * The append of an entry that was killed can still take effect.
 */
#define SLOTS (ENTRIES * (RESTARTS + 1))
#define SLOT(e) ((e) * (RESTARTS + 1) + boot[e])
byte in_flight_keys[SLOTS];
byte in_flight_seq[SLOTS];

/* Keys that a live process knows or knew of, whatever it has dropped since its
 * start. */
byte agent_knows;
byte entry_knows[ENTRIES];

/* The reader. */
byte read_offset;
byte billed[2]; /* how often it has billed each key */

#define KNOWN_KEYS (agent_knows | entry_knows[0] | entry_knows[1])
#define STORED_KEYS (in_log | receipts | bills[0] | bills[1])

/* Every key that a live process knows of has a receipt, a bill or a record. */
inline check_none_lost()
{
    assert((KNOWN_KEYS & ~STORED_KEYS) == 0)
}

/* True when the log has the batch of entry e after offset search_from[e]. */
#ifdef WRITER_WITHOUT_BOOT
#define SAME_BOOT(e, n) true
#else
#define SAME_BOOT(e, n) (batch_boot[n] == boot[e])
#endif
#define FOUND_AT(e, n) \
    ((n) <= log_len && (n) > search_from[e] && batch_writer[n] == (e) && \
     SAME_BOOT(e, n) && batch_seq[n] == seq[e])
#define FOUND(e) (FOUND_AT(e, 1) || FOUND_AT(e, 2) || FOUND_AT(e, 3))

/* The batch of entry e is in the log: its bills are confirmed. */
inline complete_batch()
{
    bills[e] = bills[e] & ~batch[e];
    batch[e] = 0;
    search_from[e] = 0;
    seq[e]++;
    check_none_lost()
}

inline clear_in_flight(w)
{
    in_flight_keys[w] = 0;
    in_flight_seq[w] = 0
}

/* The append in slot w takes effect. */
inline apply_append(w)
{
    log_len++;
    batch_writer[log_len] = w / (RESTARTS + 1);
    batch_boot[log_len] = w % (RESTARTS + 1);
    batch_seq[log_len] = in_flight_seq[w];
    batch_keys[log_len] = in_flight_keys[w];
    in_log = in_log | in_flight_keys[w]
}

proctype agent()
{
end:
    do
    /* Runs a key that an entry has sent. */
    :: d_step {
        ((sent[0] | sent[1]) & 1 & ~keys_run) != 0 ->
        keys_run = keys_run | 1;
        receipts = receipts | 1;
        agent_knows = agent_knows | 1
    }
    :: d_step {
        ((sent[0] | sent[1]) & 2 & ~keys_run) != 0 ->
        keys_run = keys_run | 2;
        receipts = receipts | 2;
        agent_knows = agent_knows | 2
    }
    /* Is killed and restarted. */
    :: d_step {
        agent_knows != 0 ->
        receipts = 0;
        agent_knows = 0;
        check_none_lost()
    }
    od
}

proctype entry(byte e)
{
    byte n;

end:
    do
    /* Sends a key; each key is sent by one entry. */
    :: d_step {
        ((sent[0] | sent[1] | keys_run) & 1) == 0 ->
        sent[e] = sent[e] | 1
    }
#if KEYS > 1
    :: d_step {
        ((sent[0] | sent[1] | keys_run) & 2) == 0 ->
        sent[e] = sent[e] | 2
    }
#endif
    /* Learns that its keys are complete. */
    :: d_step {
        (sent[e] & agent_knows & ~entry_knows[e]) != 0 ->
        bills[e] = bills[e] | (sent[e] & agent_knows & ~entry_knows[e]);
        entry_knows[e] = entry_knows[e] | (sent[e] & agent_knows);
#ifdef DROPS_ON_SEND
        receipts = receipts & ~entry_knows[e];
#endif
        check_none_lost()
    }
    /* Takes over receipts of keys that it did not send, as when the entry
     * that sent them is gone. */
    :: d_step {
        (receipts & ~entry_knows[e] & ~sent[e]) != 0 ->
        bills[e] = bills[e] | (receipts & ~entry_knows[e] & ~sent[e]);
        entry_knows[e] = entry_knows[e] | (receipts & ~sent[e]);
#ifdef DROPS_ON_TRANSFER
        receipts = receipts & ~entry_knows[e];
#endif
        check_none_lost()
    }
    /* Appends its bills. */
    :: d_step {
        bills[e] != 0 && batch[e] == 0 && in_flight_keys[SLOT(e)] == 0 ->
        batch[e] = bills[e];
        search_from[e] = log_len;
        in_flight_keys[SLOT(e)] = bills[e];
        in_flight_seq[SLOT(e)] = seq[e];
#ifdef CONFIRMS_ON_SEND
        receipts = receipts & ~batch[e];
#endif
        check_none_lost()
    }
#ifdef ASSUMES_SUCCESS
    /* Takes a lost response for a success. */
    :: d_step {
        batch[e] != 0 ->
        complete_batch()
    }
#endif
    /*
     * Gets the response, or reads the log after a lost response: the batch
     * is found and is confirmed to the agent. The confirmation can be lost,
     * which is the first of the two steps.
     */
    :: d_step {
        batch[e] != 0 && FOUND(e) ->
        complete_batch()
    }
    :: d_step {
        batch[e] != 0 && FOUND(e) ->
        receipts = receipts & ~batch[e];
        complete_batch()
    }
    /* Reads the log and does not find the batch: appends it again. */
    :: d_step {
        batch[e] != 0 && !FOUND(e) && in_flight_keys[SLOT(e)] == 0 ->
        in_flight_keys[SLOT(e)] = batch[e];
        in_flight_seq[SLOT(e)] = seq[e]
    }
    /* Confirms again the receipts that the agent still offers and whose bills
     * are in the log. */
    :: d_step {
        (receipts & entry_knows[e] & ~bills[e]) != 0 ->
        receipts = receipts & ~(entry_knows[e] & ~bills[e]);
        check_none_lost()
    }
    /* Is killed and restarted. */
    :: d_step {
        boot[e] < RESTARTS && (sent[e] | entry_knows[e]) != 0 ->
        boot[e]++;
        sent[e] = 0;
        bills[e] = 0;
        seq[e] = 0;
        batch[e] = 0;
        search_from[e] = 0;
        entry_knows[e] = 0;
        check_none_lost()
    }
    od
}

proctype log_service(byte slot)
{
end:
    do
#ifdef DUPLICATE_APPENDS
    /* An append takes effect, and a second copy of it is still in flight. */
    :: d_step {
        in_flight_keys[slot] != 0 && log_len < LOG_MAX ->
        apply_append(slot)
    }
#endif
    /* An append takes effect. */
    :: d_step {
        in_flight_keys[slot] != 0 && log_len < LOG_MAX ->
        apply_append(slot);
        clear_in_flight(slot)
    }
    /* An append is lost in flight. */
    :: d_step {
        in_flight_keys[slot] != 0 ->
        clear_in_flight(slot)
    }
    od
}

/* Reads the bills and counts only the first bill of each key. */
proctype reader()
{
    byte seen_keys;
    byte new_keys;

end:
    do
    :: d_step {
        read_offset < log_len ->
        read_offset++;
#ifdef COUNTS_DUPLICATES
        new_keys = batch_keys[read_offset];
#else
        new_keys = batch_keys[read_offset] & ~seen_keys;
#endif
        seen_keys = seen_keys | new_keys;
        billed[0] = billed[0] + (new_keys & 1);
        billed[1] = billed[1] + ((new_keys >> 1) & 1);
        new_keys = 0;
        assert(billed[0] <= 1 && billed[1] <= 1);
        assert((seen_keys & ~keys_run) == 0)
    }
    od
}

#ifdef WITNESS
/* models.test.sh expects spin to reach this state. */
proctype witness()
{
end:
    d_step {
#if WITNESS == 1
        /* Both entries appended a key, and the reader billed it once. */
        (batch_keys[1] & batch_keys[2]) == 1 &&
        batch_writer[1] != batch_writer[2] && read_offset == 2 &&
        billed[0] == 1 ->
#else
        /* After a restart, every key has run, is billed and is confirmed. */
        boot[0] == 1 && keys_run == ALL && receipts == 0 &&
        agent_knows == ALL && bills[0] == 0 && bills[1] == 0 &&
        billed[0] == 1 && billed[1] == 1 ->
#endif
        assert(false)
    }
}
#endif

init
{
    atomic {
        run agent();
        run entry(0);
        run entry(1);
        run log_service(0);
        run log_service(1);
        run log_service(2);
        run log_service(3);
        run reader();
#ifdef WITNESS
        run witness();
#endif
    }
}
