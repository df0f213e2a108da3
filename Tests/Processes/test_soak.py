"""A short seeded run of the soak, and every seed that ever failed."""

import unittest

import soak_sessions

#: Seeds that failed once, each with the cause.
REGRESSIONS = {
    17: "the check: a write of unknown outcome ran late and was read",
    22: "the check: the same, after an instance went dark",
    25: "an instance that led again without news in the directory was not used",
    27: "the check: a proxy's port was taken by a connection while it was away",
}
FRESH = (101, 102)
SECONDS = 10


class SoakTest(unittest.TestCase):
    def test_seeds_keep_every_promise(self):
        for seed in (*REGRESSIONS, *FRESH):
            with self.subTest(seed=seed):
                self.assertEqual(
                    soak_sessions.run_seed(seed, SECONDS, 3, keep=None), [])


if __name__ == "__main__":
    unittest.main()
