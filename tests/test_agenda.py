from limepath.agenda import mixed


def test_mixing_is_a_function_that_tells_numbers_apart():
    assert mixed(1) == mixed(1) != mixed(2)
