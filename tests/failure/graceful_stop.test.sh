#!/usr/bin/env bash
# SIGTERM of an agent and of an entry under load: no client sees a truncated
# response, and each request that reached a ready process gets a response.
# usage: tests/failure/graceful_stop.test.sh BUILD_DIR
cd "$(dirname "$0")/../.."
build=$1
port=26800
. tests/scripts/lib.sh
. tests/scripts/system.sh
drain_grace_ms=5000
start_demo_system
# Requests last longer than a draining process stays after its last one.
set_service_faults plume '{"ttft_ms": 50, "token_ms": 60}'
set_service_faults atelier '{"service_ms": 600}'

# usage: print_results NAME; prints how many calls of a load had which result
print_results()
{
    echo "  $1: $(sort "$work/load-$1" | uniq -c | xargs)"
}

echo "an engine's agent stops"
start_load brest entry-brest verse 8
start_load quimper entry-quimper verse 8
wait_more_calls brest 24
stop agent-plume-brest || fail "the agent did not drain"
wait_more_calls brest 24
wait_more_calls quimper 24
start_agent plume-brest
wait_available entry-brest 6
wait_available entry-quimper 6
stop_load brest
stop_load quimper
print_results brest
print_results quimper
check "verses that failed" "$(cat "$work"/load-{brest,quimper} |
    grep -vc '^0 200 ran whole$')" 0

echo "a home's agent stops"
start_load orders entry-brest print-order 6
wait_more_calls orders 24
stop agent-atelier-brest || fail "the agent did not drain"
wait_more_calls orders 24
stop_load orders
print_results orders
check "orders neither run nor refused with 503" "$(grep -vcE \
    '^0 (200 ran|503 not-run|503 unknown) whole$' "$work/load-orders")" 0

echo "an entry stops"
start_load verses entry-quimper verse 8
wait_more_calls verses 24
kill -TERM "${pids[entry-quimper]}"
wait_until 10 state_matches entry-quimper '.ready == false'
# A load balancer notices this about now; the entry still accepts requests.
wait_more_calls verses 16
stop_load verses
stop entry-quimper || fail "the entry did not drain"
print_results verses
check "verses that failed" \
    "$(grep -vc '^0 200 ran whole$' "$work/load-verses")" 0
verses=$(cat "$work"/load-{brest,quimper,verses} | wc -l)

# usage: read_slowly SECONDS ENTRY BYTES; sends a print order of so many bytes
# through a connection with a small window, and prints the response. For
# SECONDS, reads 4 KB in 250 ms, then as fast as it can.
read_slowly()
{
    perl -MSocket -e '
        my ($seconds, $address, $bytes) = @ARGV;
        my ($host, $port) = split(/:/, $address);
        socket(my $s, PF_INET, SOCK_STREAM, 0) or die;
        setsockopt($s, SOL_SOCKET, SO_RCVBUF, 4096);
        connect($s, pack_sockaddr_in($port, inet_aton($host))) or die;
        my $request = "POST /v1/print-order HTTP/1.1\r\nHost: h\r\n" .
            "Sassafras-Team: quimper-undertakers\r\n" .
            "Sassafras-Kind: print-order\r\n" .
            "Content-Length: $bytes\r\n\r\n" . "x" x $bytes;
        while (length $request) {
            substr($request, 0, syswrite($s, $request) || die, "");
        }
        my $started = time;
        $| = 1;
        while (sysread($s, my $part, 4096)) {
            print $part;
            select(undef, undef, undef, 0.25) if time - $started < $seconds;
        }' "$1" "${entry_url[$2]#http://}" "$3"
}

echo "an entry stops while a client still reads"
# The client reads for longer than the entry goes on accepting.
start slow read_slowly 8 entry-brest 4000000
wait_until 10 test -s "$work/slow.out"
stop entry-brest || fail "the entry did not drain"
wait "${pids[slow]}" || true
check "echo of the slow client's order" \
    "$(tr -cd x <"$work/slow.out" | wc -c)" 4000000

wait_until 10 has_bill_count verse "$verses" ||
    fail "bills: $(bill_count verse)"
check "bills of $verses verses" "$(bill_count verse)" "$verses"
