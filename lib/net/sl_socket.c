/* Addresses and options of sockets. */
#include "sl_net_internal.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* The three constants of TCP keep-alive together detect a lost peer within
 * about 4 s, in the range that operators expect. */
/* Time without received bytes before the first probe. */
#define Sl_KEEPALIVE_IDLE_S 2
/* Time between two probes. */
#define Sl_KEEPALIVE_INTERVAL_S 1
/* Unanswered probes after which the connection is closed. */
#define Sl_KEEPALIVE_PROBES 2
/* A connection is closed if sent bytes stay unacknowledged for this long: the
 * time within which keep-alive detects a lost peer. */
#define Sl_UNACKED_TIMEOUT_MS 4000
#define Sl_PORT_MAX 65535

bool
SlSocket_ParseAddress(struct sl_str text, struct sockaddr_in *address)
{
    char host[INET_ADDRSTRLEN];
    const char *colon = memchr(text.ptr, ':', text.len);
    if (colon == NULL || (size_t)(colon - text.ptr) >= sizeof(host)) {
        return false;
    }
    size_t host_len = (size_t)(colon - text.ptr);
    memcpy(host, text.ptr, host_len);
    host[host_len] = '\0';
    long port = 0;
    for (const char *digit = colon + 1; digit < text.ptr + text.len; digit++) {
        if (*digit < '0' || *digit > '9' || port > Sl_PORT_MAX) {
            return false;
        }
        port = port * 10 + (*digit - '0');
    }
    if (port < 1 || port > Sl_PORT_MAX) {
        return false;
    }
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

void
SlSocket_SetOptions(evutil_socket_t fd)
{
    const struct {
        int level;
        int name;
        int value;
    } options[] = {
        {IPPROTO_TCP, TCP_NODELAY, 1},
        {SOL_SOCKET, SO_KEEPALIVE, 1},
        {IPPROTO_TCP, TCP_KEEPIDLE, Sl_KEEPALIVE_IDLE_S},
        {IPPROTO_TCP, TCP_KEEPINTVL, Sl_KEEPALIVE_INTERVAL_S},
        {IPPROTO_TCP, TCP_KEEPCNT, Sl_KEEPALIVE_PROBES},
        {IPPROTO_TCP, TCP_USER_TIMEOUT, Sl_UNACKED_TIMEOUT_MS},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
        (void)setsockopt(fd, options[i].level, options[i].name,
                         &options[i].value, sizeof(options[i].value));
    }
}

bool
SlSocket_IsConnected(evutil_socket_t fd)
{
    struct sockaddr_in peer;
    socklen_t len = sizeof(peer);
    return getpeername(fd, (struct sockaddr *)&peer, &len) == 0;
}
