from celeryfork_standin.text import expected_tokens, make_answer


def test_a_token_depends_only_on_request_and_position():
    whole = expected_tokens("m", "chai", 7, 40)
    assert expected_tokens("m", "chai", 7, 10) == whole[:10]
    answer = make_answer("m", "chai", 7, 40)
    assert [answer.token(position) for position in range(40)] == whole
    assert answer.literal(3) == f'"{whole[3]}"'.encode()


def test_other_requests_have_other_answers():
    answers = {
        tuple(expected_tokens(model, prompt, seed, 20))
        for model in ("m", "n")
        for prompt in ("chai", "bread")
        for seed in (0, 1)
    }
    assert len(answers) == 8


def test_a_marker_ends_the_answer():
    answer = make_answer("m", "chai [stop:3]", 0, 40)
    assert (answer.length, answer.reason) == (3, "stop")
    assert len(expected_tokens("m", "chai [stop:3]", 0, 40)) == 3
    assert make_answer("m", "chai [stop:3]", 0, 2).reason == "length"
