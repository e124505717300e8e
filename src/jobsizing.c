#include "jobsizing.h"

/* Share of a VM that short tasks can fill before further ones do not fit. */
#define SIZING_USABLE_PERCENT 80
/* VMs that each pool keeps beyond the need of its lasting tasks. */
#define SIZING_RESERVE_VMS 2
/* Share of the backlog that VMs are added for; the rest is done before they
 * arrive. */
#define SIZING_BACKLOG_PERCENT 60
/* The backlog counts for at most the arrival rate plus these VMs. With little
 * arriving work, no more VMs than these are added for it. */
#define SIZING_BACKLOG_LIMIT_VMS 4
/* Time in which a backlog is done at the latest, whatever arrives. */
#define SIZING_BACKLOG_MS 4000

/* VMs that a pool keeps from others, and that are added at most, for jobs
 * whose tasks run apart because their targets crashed. Such tasks cannot share
 * VMs, so their need is counted in VMs. */
#define SIZING_SUSPECT_VMS 4
#define SIZING_MAX_SUSPECT_VMS 32

static int64_t
larger(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

static int64_t
smaller(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/* Adds the present need to the window. Returns the highest need in it. */
static int64_t
update_window_max(JobSizing *sizing, int64_t now, int64_t cpu)
{
    int64_t slot = now / SIZING_SLOT_MS;
    size_t at = (size_t)(slot % SIZING_SLOTS);
    size_t i;

    if (sizing->slot_number[at] != slot || sizing->slot_max[at] < cpu) {
        sizing->slot_number[at] = slot;
        sizing->slot_max[at] = cpu;
    }
    for (i = 0; i < SIZING_SLOTS; i++) {
        if (slot - sizing->slot_number[i] < SIZING_SLOTS) {
            cpu = larger(cpu, sizing->slot_max[i]);
        }
    }
    return cpu;
}

JobPoolSize
JobSizing_Plan(JobSizing *sizing, int64_t now, const JobPoolLoad *load,
               int64_t vm_cpu)
{
    int64_t rate =
        larger(larger(load->arriving, load->rising), load->forecast);
    int64_t waiting = load->waiting - load->suspect;
    int64_t backlog = waiting * SIZING_BACKLOG_PERCENT / 100;
    int64_t minimum = load->lasting * 100 / SIZING_USABLE_PERCENT +
                      SIZING_RESERVE_VMS * vm_cpu;
    JobPoolSize size;

    if (backlog > rate + SIZING_BACKLOG_LIMIT_VMS * vm_cpu) {
        backlog = rate + SIZING_BACKLOG_LIMIT_VMS * vm_cpu;
    }
    backlog = larger(backlog, load->backlog / SIZING_BACKLOG_MS);
    size.desired =
        (rate + backlog) * 100 / SIZING_USABLE_PERCENT + load->lasting;
    size.desired =
        larger(size.desired, minimum) +
        smaller(load->suspect_jobs, SIZING_MAX_SUSPECT_VMS) * vm_cpu;
    size.transfer_floor =
        (rate + waiting) * 100 / SIZING_USABLE_PERCENT + load->lasting;
    size.transfer_floor =
        larger(size.transfer_floor, minimum) +
        smaller(load->suspect_jobs, SIZING_SUSPECT_VMS) * vm_cpu;
    /* Running tasks end soon, but waiting tasks then need their VMs. */
    size.standby_floor = waiting > 0 ? load->used + waiting : 0;
    size.standby_floor =
        larger(size.standby_floor,
               minimum + smaller(load->suspect_jobs, SIZING_MAX_SUSPECT_VMS) *
                             vm_cpu);
    size.standby_floor = update_window_max(
        sizing, now, larger(size.standby_floor, size.transfer_floor));
    return size;
}
