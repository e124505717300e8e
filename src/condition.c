#include "condition.h"

int64_t
Condition_GetAgeMs(const Condition *condition, int64_t now)
{
    return condition->holds ? now - condition->since_ms : 0;
}

ConditionReport
Condition_Update(Condition *condition, int64_t now, bool holds,
                 int64_t *lasted_ms)
{
    *lasted_ms = Condition_GetAgeMs(condition, now);
    if (!holds) {
        bool reported = condition->reported;

        *condition = (Condition){0};
        return reported ? CONDITION_ENDED : CONDITION_SILENT;
    }
    if (!condition->holds) {
        *condition = (Condition){.holds = true,
                                 .since_ms = now,
                                 .next_ms = now + CONDITION_FIRST_MS};
    }
    if (now < condition->next_ms) {
        return CONDITION_SILENT;
    }
    condition->reported = true;
    condition->next_ms = now + CONDITION_INTERVAL_MS;
    return CONDITION_LASTS;
}
