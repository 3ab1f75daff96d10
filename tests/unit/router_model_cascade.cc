// Expected gains from one model to another.
#include <gtest/gtest.h>

extern "C" {
#include "sl_router_internal.h"
}

// Guards against pairs of models that share a gain, because their names hold
// spaces.
TEST(ModelCascade, PairsOfModelsAreToldApart)
{
    struct sl_router_options options = {};
    options.boot = 1;
    struct sl_router *router = SlRouter_New(&options);
    struct sl_name pairs[][2] = {{SlName_Of("a b"), SlName_Of("c")},
                                 {SlName_Of("a"), SlName_Of("b c")}};
    for (auto &models : pairs) {
        struct sl_route route = {};
        route.model_count = 2;
        route.models = models;
        struct sl_routed_request request = {};
        request.route = &route;
        request.escalated_model = 0;
        request.model = 1;
        request.escalated_confidence = 20;
        SlModelCascade_Learn(router, &request, 90);
    }
    EXPECT_EQ(g_hash_table_size(router->confidence_gains), 2u);
    SlRouter_Free(router);
}
