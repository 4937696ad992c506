/* Membership and ownership by rendezvous hashing. The tests guard against
 * subjects that are assigned to members without contact, assignments that are
 * uneven or move without need, and members that are forgotten too early. */
#include "guavaflow/member.h"

#include "suite.h"

#define CONTACT_MS 1000
#define FORGET_MS 5000
#define SUBJECTS 3000

static GfManualClock test_clock;

/* Creates the membership of entry0, which lists others without contact. */
static GfMembers *
make_members(int others)
{
    GfManualClock_Init(&test_clock, 100000);
    GfMemberConfig config = {.contact_ms = CONTACT_MS, .forget_ms = FORGET_MS};
    GfName self = GfName_Format("entry0");
    GfMembers *m = GfMembers_Create(&self, &config);
    for (int i = 1; i <= others; i++) {
        GfName name = GfName_Format("entry%d", i);
        GfMembers_Add(m, &name, "127.0.0.1", (uint16_t)(100 + i), 1,
                      test_clock.time);
    }
    return m;
}

/* Records direct contact with an entry. */
static void
contact(GfMembers *m, int entry)
{
    GfName name = GfName_Format("entry%d", entry);
    GfMembers_Contact(m, &name, 1, 1, test_clock.time);
}

/* Counts the subjects that an entry owns. */
static int
owned(GfMembers *m, int entry)
{
    GfName name = GfName_Format("entry%d", entry);
    int count = 0;
    for (int i = 0; i < SUBJECTS; i++) {
        GfName subject = GfName_Format("rack%d", i);
        GfName owner;
        CU_ASSERT_TRUE(GfMembers_Owner(m, &subject, test_clock.time, &owner));
        count += GfName_Equal(&owner, &name);
    }
    return count;
}

/* Only direct contact makes a listed member own subjects, for CONTACT_MS. */
static void
test_contact(void)
{
    GfMembers *m = make_members(2);
    CU_ASSERT_EQUAL(owned(m, 0), SUBJECTS);
    contact(m, 1);
    CU_ASSERT_TRUE(owned(m, 1) > 0);
    CU_ASSERT_EQUAL(owned(m, 2), 0);
    GfManualClock_Advance(&test_clock, CONTACT_MS);
    CU_ASSERT_EQUAL(owned(m, 0), SUBJECTS);
    GfMembers_Destroy(m);
}

/* Subjects are spread evenly, within 20 percent. When a member leaves, only
 * its own subjects move. */
static void
test_owner(void)
{
    GfMembers *m = make_members(2);
    contact(m, 1);
    contact(m, 2);
    int before[3];
    for (int i = 0; i < 3; i++) {
        before[i] = owned(m, i);
        CU_ASSERT_TRUE(before[i] > SUBJECTS / 3 * 8 / 10);
        CU_ASSERT_TRUE(before[i] < SUBJECTS / 3 * 12 / 10);
    }
    GfName leaver = GfName_Format("entry2");
    GfMembers_SetState(m, &leaver, true, true);
    CU_ASSERT_EQUAL(owned(m, 2), 0);
    CU_ASSERT_TRUE(owned(m, 0) >= before[0]);
    CU_ASSERT_TRUE(owned(m, 1) >= before[1]);
    GfMembers_SetSelfLeaving(m);
    CU_ASSERT_EQUAL(owned(m, 1), SUBJECTS);
    GfMembers_Destroy(m);
}

/* A member is forgotten only after FORGET_MS without being listed and without
 * contact. */
static void
test_forget(void)
{
    GfMembers *m = make_members(1);
    GfManualClock_Advance(&test_clock, FORGET_MS - 1);
    contact(m, 1);
    GfManualClock_Advance(&test_clock, FORGET_MS - 1);
    GfMembers_RemoveExpired(m, test_clock.time);
    CU_ASSERT_EQUAL(GfMembers_Count(m), 1);
    GfManualClock_Advance(&test_clock, 1);
    GfMembers_RemoveExpired(m, test_clock.time);
    CU_ASSERT_EQUAL(GfMembers_Count(m), 0);
    GfMembers_Destroy(m);
}

static const SuiteTest TESTS[] = {
    {"contact", test_contact}, {"owner", test_owner}, {"forget", test_forget}};

SUITE_MAIN("member", TESTS)
