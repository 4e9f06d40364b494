#include "libmangofork/code.h"
#include "libmangofork/error.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

static bool
check_row (const MfCodeInfo *info, void *data)
{
  int *last = data;

  assert_true ((int)info->code > *last);
  *last = (int)info->code;
  assert_ptr_equal (mf_code_info (info->code), info);
  return true;
}

static void
test_codes_ascend_and_are_found (void **state)
{
  int last = -1;

  (void)state;
  mf_code_foreach (check_row, &last);
  assert_int_equal (last, MF_CODE_USAGE);
}

static void
test_unknown_code_is_internal (void **state)
{
  (void)state;
  assert_int_equal (mf_code_info ((MfCode)9999)->code, MF_CODE_INTERNAL);
}

static void
test_first_fault_stays (void **state)
{
  MfError error = { 0 };

  (void)state;
  mf_error_set_at (&error, MF_CODE_TEXT_TYPE, 3, 4, "first");
  mf_error_set (&error, MF_CODE_INTERNAL, "second");
  assert_int_equal (error.code, MF_CODE_TEXT_TYPE);
  assert_int_equal (error.line, 3);
  assert_string_equal (error.text, "first");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_codes_ascend_and_are_found),
    cmocka_unit_test (test_unknown_code_is_internal),
    cmocka_unit_test (test_first_fault_stays),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
