#include "jobsizing.h"

/* Short work fills VMs only to this share before tasks no longer fit. */
#define SIZING_FILL_PERCENT 80
/* VMs that each pool keeps beyond its lasting tasks. */
#define SIZING_RESERVE_VMS 2
/* Share of the work that waits for which VMs are fetched; the rest is done
 * before they come. */
#define SIZING_BACKLOG_PERCENT 60
/* VMs that are fetched for work that waits although little arrives. */
#define SIZING_BACKLOG_VMS 4

static int64_t
larger(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/* Notes what is needed now. Returns the highest need within the hold time. */
static int64_t
hold(JobSizing *sizing, int64_t now, int64_t need)
{
    int64_t slot = now / SIZING_SLOT_MS;
    size_t at = (size_t)(slot % SIZING_SLOTS);
    size_t i;

    if (sizing->slot_at[at] != slot || sizing->needed[at] < need) {
        sizing->slot_at[at] = slot;
        sizing->needed[at] = need;
    }
    for (i = 0; i < SIZING_SLOTS; i++) {
        if (slot - sizing->slot_at[i] < SIZING_SLOTS) {
            need = larger(need, sizing->needed[i]);
        }
    }
    return need;
}

JobSize
JobSizing_Plan(JobSizing *sizing, int64_t now, const JobPoolLoad *load,
               int64_t vm_cpu)
{
    int64_t rate =
        larger(larger(load->arriving, load->rising), load->forecast);
    int64_t backlog = load->waiting * SIZING_BACKLOG_PERCENT / 100;
    int64_t floor = load->lasting * 100 / SIZING_FILL_PERCENT +
                    SIZING_RESERVE_VMS * vm_cpu;
    JobSize size;

    if (backlog > rate + SIZING_BACKLOG_VMS * vm_cpu) {
        backlog = rate + SIZING_BACKLOG_VMS * vm_cpu;
    }
    size.want = (rate + backlog) * 100 / SIZING_FILL_PERCENT + load->lasting;
    size.want = larger(size.want, floor);
    size.keep =
        (rate + load->waiting) * 100 / SIZING_FILL_PERCENT + load->lasting;
    size.keep = larger(size.keep, floor);
    /* What runs ends soon, but while other work waits its VMs are needed. */
    size.hold = load->waiting > 0 ? load->used + load->waiting : 0;
    size.hold = hold(sizing, now, larger(size.hold, size.keep));
    return size;
}
