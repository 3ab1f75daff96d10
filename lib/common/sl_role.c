/* Names of process roles. */
#include "sl_common.h"

const char *
SlRole_Name(enum sl_role role)
{
    return role == Sl_ROLE_ENTRY ? "entry" : "agent";
}

bool
SlRole_Parse(struct sl_str text, enum sl_role *role)
{
    if (SlStr_Equal(text, Sl_STR("entry"))) {
        *role = Sl_ROLE_ENTRY;
        return true;
    }
    if (SlStr_Equal(text, Sl_STR("agent"))) {
        *role = Sl_ROLE_AGENT;
        return true;
    }
    return false;
}
